#include "heatherroute/member.h"

namespace heatherroute
{

const char *toString(member_state state) noexcept
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspected:
        return "suspected";
    case member_state::Leaving:
        return "leaving";
    case member_state::Dead:
        return "dead";
    }
    return "dead";
}

} // namespace heatherroute
