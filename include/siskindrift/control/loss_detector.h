// Detection of control replicas whose disks are lost for good.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/consensus/raft_node.h"

namespace siskindrift::control {

/// Finds out whether silent voters have lost their disks. Does no I/O.
///
/// The identity of a replica is stored on its disk, and an address is used by one replica. So if
/// another identity answers at the address of a member, the disk of that member is lost. Only the
/// answer to a query that was sent after the member was known shows it: an earlier message may be
/// one of a former replica at that address.
class loss_detector {
public:
    /// A question to the replica at an address.
    struct query {
        std::string address;
        std::uint64_t nonce = 0;
    };

    /// @param seed seed of the numbers of the queries
    explicit loss_detector(std::uint64_t seed) : m_random(seed) {}

    /// Returns the queries to send now, one for each silent voter and interval.
    [[nodiscard]] std::vector<query> take_queries(const consensus::raft_node& raft,
                                                  core::time_point now);

    /// Returns the member that @p reply shows to be lost, or no value.
    [[nodiscard]] std::optional<std::uint64_t> on_reply(const wire::identity_reply_t& reply);

private:
    /// A leader that has had no reply for this long asks; longer than a few lost heartbeats.
    static constexpr core::milliseconds silence_limit{300};
    static constexpr core::milliseconds query_interval{200};
    /// Answers that come later are ignored.
    static constexpr core::milliseconds query_lifetime{10'000};

    struct open_query {
        std::uint64_t member = 0;
        core::time_point sent_at{};
    };

    core::random_source m_random;
    core::time_point m_due{};
    std::map<std::uint64_t, open_query> m_open; ///< By nonce.
};

} // namespace siskindrift::control
