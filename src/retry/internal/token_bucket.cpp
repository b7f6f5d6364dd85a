#include "retry/token_bucket.hpp"

#include <algorithm>

namespace plantaintally::retry
{

void note_request(token_bucket& bucket)
{
    bucket.tokens = std::min(max_tokens, bucket.tokens + tokens_per_request);
}

bool take_token(token_bucket& bucket)
{
    if (bucket.tokens < 1.0)
    {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

} // namespace plantaintally::retry
