// Preloaded into an entry process: gives it links of its own to the upstreams, whose registered address is the same for all entries.

#include "support/link_hosts.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>

/// Connects like the function of the C library, but to the link host in the environment in place of the shared one. Thread safe.
extern "C" int connect(int handle, const sockaddr *address, socklen_t size)
{
    using connect_function = int (*)(int, const sockaddr *, socklen_t);
    static const auto original = reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
    static const char *const linkHost = std::getenv(heatherroute::support::kLinkHostVariable);
    const auto *target = reinterpret_cast<const sockaddr_in *>(address);
    if (linkHost == nullptr || address == nullptr || address->sa_family != AF_INET || size < sizeof(sockaddr_in)
        || target->sin_addr.s_addr != ::inet_addr(heatherroute::support::kSharedLinkHost)) {
        return original(handle, address, size);
    }
    sockaddr_in own = *target;
    own.sin_addr.s_addr = ::inet_addr(linkHost);
    return original(handle, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
}
