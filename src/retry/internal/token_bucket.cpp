#include "retry/token_bucket.hpp"

#include <algorithm>

namespace plantaintally::retry
{

void note_request(token_bucket& bucket, allowance const& allowed)
{
    bucket.tokens = std::min(allowed.most, bucket.tokens + allowed.per_request);
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
