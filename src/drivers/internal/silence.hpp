// Notices connections whose other side has gone without a word.
#pragma once

#include "drivers/http.hpp"

namespace plantaintally::drivers
{

// Ends the connection with an error a few seconds after its other side, or the
// way there, has gone silent: by keep-alive probes while nothing is sent, and
// by a limit for unacknowledged bytes otherwise.
void notice_silence(tcp::socket& socket);

} // namespace plantaintally::drivers
