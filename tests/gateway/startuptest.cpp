#include "../processes/childprocess.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

/** Keeps a port of the loopback address in use. */
class UsedPort
{
public:
    UsedPort()
        : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace

BOOST_AUTO_TEST_SUITE(startup)

// Guards against a gateway that aborts, without naming the address, when one of its addresses is in
// use at the start while its threads already run.
BOOST_AUTO_TEST_CASE(a_used_address_ends_the_gateway_with_its_setting)
{
    const UsedPort used;
    for (const std::string setting :
         {"listen", "ready-listen", "lookup-listen", "peer-listen", "admin-listen"}) {
        std::vector<std::string> flags{"--instance=i", "--region=r", "--zone=z", "--zones=z=r",
                                       "--store=127.0.0.1:1"};
        for (const std::string other :
             {"listen", "ready-listen", "lookup-listen", "peer-listen", "admin-listen"}) {
            flags.push_back("--" + other + "="
                            + (other == setting ? used.address() : "127.0.0.1:0"));
        }
        const ProcessEnd end = runToEnd("bronzeshed-gateway", flags);
        BOOST_TEST(end.exitCode == 1, setting);
        const std::string line
            = "event=listen_failed setting=" + setting + " address=" + used.address() + " ";
        BOOST_TEST(end.output.find(line) != std::string::npos, setting << ": " << end.output);
    }
}

// Guards against an entry that aborts in the same way.
BOOST_AUTO_TEST_CASE(a_used_address_ends_the_entry_with_an_error)
{
    const UsedPort used;
    const ProcessEnd end = runToEnd("bronzeshed-entry",
                                    {"--region=r", "--zone=z", "--listen=127.0.0.1:0",
                                     "--agent=127.0.0.1:1", "--admin-listen=" + used.address()});
    BOOST_TEST(end.exitCode == 1);
}

BOOST_AUTO_TEST_SUITE_END()
