#include "gossipcluster.h"

#include "agent/worker.h"
#include "entry/controlinbox.h"
#include "rpc/agentlink.h"
#include "rpc/agentserver.h"
#include "rpc/conversion.h"
#include "rpc/peerclient.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Agent with its RPC server and client, but without its other threads. */
struct RpcAgent
{
    explicit RpcAgent(unsigned index, std::uint16_t port = 0)
        : agent(clock, index, index + 1)
        , server({"127.0.0.1", port}, agent.state, agent.gossip, counters)
    {
        this->agent.state.setAgentEndpoint(this->server.localEndpoint());
        this->agent.report();
    }

    void startClient(const Endpoint &seed)
    {
        InstanceSnapshot snapshot;
        snapshot.agents = {seed};
        this->agent.state.adoptInstances(snapshot);
        this->client
            = std::make_unique<PeerClient>(this->agent.gossip, this->agent.wakeup, this->counters);
    }

    std::uint64_t count(ControlMessage kind) const
    {
        return this->counters.totals().messages.at(static_cast<std::size_t>(kind));
    }

    SystemClock clock;
    ControlCounters counters;
    TestAgent agent;
    AgentServer server;
    std::unique_ptr<PeerClient> client;
};

/** Waits until @p condition holds. Returns false after 20 s, which only a failing test reaches. */
template<typename Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_rpc)

// Guards against fields that are lost in the messages between two agents, and against messages and
// bytes that are not counted.
BOOST_AUTO_TEST_CASE(agents_exchange_their_state)
{
    RpcAgent first(0);
    RpcAgent second(1);
    ConfigRecord record = makeRecord(3);
    record.declarationText = std::string(10000, 'x');
    record.drainFlags[UpstreamId("u")] = {2, true};
    first.agent.state.adoptRecord(record);
    second.startClient(first.server.localEndpoint());
    BOOST_TEST(eventually([&] { return second.agent.state.record() == record; }));
    BOOST_TEST((first.agent.state.members() == second.agent.state.members()));
    BOOST_TEST(eventually([&] { return second.agent.state.currentState().confirmedAge < 6s; }));
    second.agent.state.adoptDrainFlags({{UpstreamId("v"), {1, true}}});
    BOOST_TEST(eventually([&] { return first.agent.state.record().drainFlags.size() == 2; }));
    BOOST_TEST(second.count(ControlMessage::ExchangeSent) > 0U);
    BOOST_TEST(first.count(ControlMessage::SyncReceived) > 0U);
    BOOST_TEST(second.count(ControlMessage::PushSent) > 0U);
    BOOST_TEST(first.counters.totals().bytesSent > 10000U);
    BOOST_TEST(second.counters.totals().bytesReceived > 10000U);
}

// Guards against version masks of a version report that are lost in a message or read as members.
BOOST_AUTO_TEST_CASE(version_reports_survive_the_message)
{
    Member member;
    member.id = InstanceId("i");
    PeerUpdate update{{member}, {}, {}, {5, {{ConfigVersion(1), 2}, {ConfigVersion(3), 4}}}};
    capnp::MallocMessageBuilder message;
    const auto params = message.initRoot<rpc::Peer::PushParams>();
    writeUpdate<rpc::Peer::PushParams::Builder>(params, update);
    const auto read = readUpdate<rpc::Peer::PushParams::Reader>(params.asReader());
    BOOST_TEST((read.members == update.members));
    BOOST_TEST(read.versions.membersHash == 5U);
    BOOST_TEST((read.versions.masks == update.versions.masks));
}

// Guards against a call that waits indefinitely for a peer that accepts connections but sends no
// answer.
BOOST_AUTO_TEST_CASE(a_silent_peer_becomes_suspect)
{
    const FileDescriptor silent(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::bind(silent.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
                  && ::listen(silent.get(), 8) == 0);
    socklen_t size = sizeof address;
    ::getsockname(silent.get(), reinterpret_cast<sockaddr *>(&address), &size);
    Member member;
    member.id = InstanceId("silent");
    member.agentEndpoint = {"127.0.0.1", ntohs(address.sin_port)};
    RpcAgent agent(0);
    agent.agent.state.mergeUpdate({{member}, {}, {}, {}}, false);
    // Without pending updates there is no push, so the exchange must end by its own timeout.
    agent.agent.gossip.takeUpdates();
    agent.startClient(member.agentEndpoint);
    BOOST_TEST(
        eventually([&] { return agent.agent.state.others().at(0).state == MemberState::Suspect; }));
}

// Guards against a peer that stays suspect, or is never called again, after its restart has broken
// the connection.
BOOST_AUTO_TEST_CASE(a_broken_connection_is_replaced)
{
    RpcAgent caller(0);
    auto peer = std::make_unique<RpcAgent>(1);
    const Endpoint endpoint = peer->server.localEndpoint();
    caller.startClient(endpoint);
    BOOST_TEST(eventually([&] { return caller.agent.state.others().size() == 1; }));
    peer.reset();
    peer = std::make_unique<RpcAgent>(1, endpoint.port);
    BOOST_TEST(eventually([&] { return peer->count(ControlMessage::ExchangeReceived) > 0; }));
    BOOST_TEST(eventually([&] {
        const Member restarted = caller.agent.state.others().at(0);
        return restarted.state == MemberState::Alive && caller.agent.state.members().size() == 2;
    }));
}

// Guards against a worker thread that ends when its step throws an exception.
BOOST_AUTO_TEST_CASE(a_worker_survives_exceptions)
{
    std::promise<void> repeated;
    unsigned steps = 0;
    Worker worker("test", [&]() -> Duration {
        if (++steps == 2) {
            repeated.set_value();
        }
        throw std::runtime_error("fault of the test");
    });
    BOOST_TEST((repeated.get_future().wait_for(20s) == std::future_status::ready));
}

// Guards against lookups that name a leaving entry for up to a second longer, because its report
// waits for the answer to the previous report. With that fault, the six reports take more than 4 s.
BOOST_AUTO_TEST_CASE(an_entry_reports_its_leaving_at_once)
{
    RpcAgent agent(0);
    Wakeup wakeup;
    Wakeup statusChanged;
    EntryStatus status = agent.agent.status;
    ControlInbox inbox(status, wakeup, statusChanged);
    AgentLink link(agent.server.localEndpoint(), inbox, statusChanged);
    const auto own = [&] { return agent.agent.state.members().at(0); };
    BOOST_TEST(eventually([&] { return inbox.takeState().has_value(); }));
    const auto start = std::chrono::steady_clock::now();
    for (unsigned change = 0; change < 5; ++change) {
        status.incarnation = status.incarnation.next();
        inbox.setIncarnation(status.incarnation);
        BOOST_TEST(eventually([&] { return own().incarnation == status.incarnation; }));
    }
    inbox.setLeaving();
    BOOST_TEST(eventually([&] { return own().state == MemberState::Leaving; }));
    BOOST_CHECK(std::chrono::steady_clock::now() - start < 2s);
}

BOOST_AUTO_TEST_SUITE_END()
