#include "relay/platform_store.h"

namespace heatherroute
{

const char *toString(store_stream stream) noexcept
{
    switch (stream) {
    case store_stream::Configuration:
        return "configuration";
    case store_stream::Registrations:
        return "registrations";
    case store_stream::Entries:
        return "entries";
    case store_stream::Origins:
        return "origins";
    }
    return "unknown";
}

} // namespace heatherroute
