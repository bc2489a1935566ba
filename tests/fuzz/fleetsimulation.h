#pragma once

#include <fleet/fleet.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace CassiaRelay::Fuzz {

enum class Action {
    Deliver,
    DeliverMany,
    Drop,
    Duplicate,
    Tick,
    Advance,
    Claim,
    Resend,
    Run,
    Finish,
    Abandon,
    Restart,
    ChangeList,
    ReadList,
    Pause,
    Resume,
    Partition,
    Heal,
    ReplaceAll,
};

/** One step of a schedule. The numbers select among the existing nodes, messages, keys and holders. */
struct Step {
    Action action = Action::Tick;
    unsigned first = 0;
    unsigned second = 0;
};

/** What happens to a VM that is no longer on the list. */
enum class RemovedVms {
    Stop,
    KeepRunning, ///< the VM does not know of its removal; only grant records, and no waiting times, prevent a second run
};

/** Runs several daemons in one process, holds the messages in flight between them and checks the invariants. */
class FleetSimulation
{
public:
    explicit FleetSimulation(std::size_t size, RemovedVms removed, Fleet::GrantRules rules = {});

    void perform(const Step &step);
    /** Resumes all nodes, heals all partitions and waits. @return true if new keys are granted afterwards */
    bool recovers();

    /** Description of the last violation; empty while every invariant holds. */
    const std::string &violation() const;
    std::size_t runs() const;
    std::size_t replays() const;

private:
    struct Node {
        VmId vm;
        Incarnation incarnation;
        std::unique_ptr<Fleet::FleetNode> fleet;
        bool paused = false;
        unsigned side = 0;
        std::optional<MonotonicTime> removedAt;
        std::map<std::string, std::int64_t> revisions;
    };
    struct Envelope {
        VmId from;
        VmId to;
        Schema::PeerMessage message;
        std::uint64_t number = 0;
    };
    struct Key {
        Fleet::GrantKey key;
        Fingerprint fingerprint;
        MonotonicTime firstSent;
        bool timed = false; ///< contains its time of issue, so that it may be re-sent at any time
        int runs = 0;
        std::string result;
    };
    struct Holder {
        VmId vm;
        Incarnation incarnation;
        Fleet::ClaimId claim;
        std::size_t key = 0;
        MonotonicTime startBefore;
        bool ran = false;
    };

    WallTime wall() const;
    void addNode(const VmId &vm);
    void publish(const std::set<VmId> &members);
    void read(Node &node, std::int64_t revision);
    void perform(Node &node, const Fleet::Outputs &outputs);
    void onDecision(Node &node, const Fleet::GrantDecided &decided);
    void deliver(std::size_t index, bool keep);
    bool deliver(const Envelope &envelope);
    void deliverAll();
    void tickAll();
    void stopRemoved();
    void advance(std::chrono::milliseconds time);
    void claim(Node &node, std::size_t key);
    std::size_t newKey(bool timed);
    void runHolder(Holder &holder, bool finish, unsigned choice);
    void changeList(const Step &step);
    void restart(Node &node);
    void replaceAll();
    bool hasHistory(const Node &node) const;
    Node &pickNode(unsigned choice);
    Node *find(const VmId &vm);

    RemovedVms m_removed;
    Fleet::GrantRules m_rules;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastClaim = 0;
    std::uint64_t m_lastEnvelope = 0;
    unsigned m_lastVm = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<Envelope> m_inFlight;
    std::map<std::int64_t, std::set<VmId>> m_lists;
    std::vector<Key> m_keys;
    std::map<std::uint64_t, std::size_t> m_claims;
    std::vector<Holder> m_holders;
    std::string m_violation;
    std::size_t m_replays = 0;
    std::size_t m_heldClaims = 0;
};

} // namespace CassiaRelay::Fuzz
