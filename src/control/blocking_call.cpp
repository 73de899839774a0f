#include "control/blocking_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace heatherroute::control
{

net::http_result callAndWait(net::http_call call)
{
    boost::asio::io_context context(1);
    net::http_result result;
    boost::asio::co_spawn(context, net::performCall(std::move(call)), [&result](const std::exception_ptr &error, net::http_result ended) {
        if (error) {
            std::rethrow_exception(error);
        }
        result = std::move(ended);
    });
    context.run();
    return result;
}

} // namespace heatherroute::control
