#include "plain_service_world.h"

#include <random>

#include "siskindrift/gateway/forward_policy.h"

namespace siskindrift::tests {
namespace {

constexpr core::milliseconds refresh_interval{200};
constexpr double min_stretch = 0.7; // of the time of execution
constexpr double max_stretch = 1.3;
const gateway::adapter_name no_adapter{};

} // namespace

std::string plain_service_outcome::text() const
{
    std::string result = std::to_string(in_time) + " of " + std::to_string(asked) + " in time, " +
                         std::to_string(late) + " late, " + std::to_string(refused) + " refused, " +
                         std::to_string(failed) + " failed; " + std::to_string(sends) + " sends, " +
                         std::to_string(rejected) + " rejected, " + std::to_string(lost) + " lost;";
    for (const auto& [upstream, count] : sends_by_upstream) {
        result += " " + upstream + " " + std::to_string(count);
    }
    return result;
}

plain_service_world::plain_service_world(plain_service_scenario scenario)
    : m_scenario(scenario), m_random(scenario.seed), m_upstreams(scenario.upstreams)
{
    m_clock.advance(core::milliseconds{100'000});
    for (std::size_t i = 0; i < scenario.upstreams; ++i) {
        wire::fleet_upstream_t announcement;
        announcement.id = id_of(i);
        announcement.service = "plain";
        announcement.address = id_of(i) + ":1";
        announcement.born_ms = 100;
        announcement.sequence = 1;
        announcement.slots = scenario.slots;
        m_roster.update(std::move(announcement), m_clock.now());
    }
    for (std::size_t i = 0; i < scenario.gateways; ++i) {
        m_pools.push_back(std::make_unique<gateway::upstream_pool>(m_roster, m_limits, m_random()));
        m_pools.back()->set_gateway_count(scenario.gateways);
    }
}

std::string plain_service_world::id_of(std::size_t index)
{
    return "u" + std::to_string(index);
}

double plain_service_world::capacity(std::size_t upstreams) const
{
    return static_cast<double>(upstreams * m_scenario.slots) * 1000 /
           static_cast<double>(core::to_ms(m_scenario.service_time));
}

void plain_service_world::remove_upstream(std::size_t index)
{
    m_roster.mark_gone(id_of(index), m_clock.now());
}

void plain_service_world::set_losing(std::size_t index, bool losing)
{
    m_upstreams[index].losing = losing;
}

void plain_service_world::set_slowness(std::size_t index, double factor)
{
    m_upstreams[index].slowness = factor;
}

void plain_service_world::at(core::duration after, std::function<void()> action)
{
    m_events.emplace(m_clock.now() + after, std::move(action));
}

plain_service_outcome plain_service_world::play(core::duration time, double per_s)
{
    m_outcome = {};
    const auto end = m_clock.now() + time;
    std::poisson_distribution<int> arrivals{per_s / 1000};
    auto refreshed = m_clock.now();
    while (m_clock.now() < end) {
        if (m_clock.now() - refreshed >= refresh_interval) {
            refreshed = m_clock.now();
            for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
                m_roster.refresh(id_of(i), refreshed);
            }
        }
        for (int i = arrivals(m_random); i > 0; --i) {
            auto item = std::make_shared<request>();
            item->gateway = core::uniform_below(m_random, m_pools.size());
            item->arrived = m_clock.now();
            ++m_outcome.asked;
            dispatch(item);
        }
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        m_clock.advance(core::milliseconds{1});
    }
    return m_outcome;
}

void plain_service_world::dispatch(const request_ptr& item)
{
    auto& pool = *m_pools[item->gateway];
    const auto now = m_clock.now();
    const auto choice =
        pool.choose("plain", no_adapter, item->tried, now, {}, {}, m_scenario.repeatable);
    if (choice.result != gateway::pool_choice::kind::send) {
        ++(item->may_have_run > 0 ? m_outcome.failed : m_outcome.refused);
        return;
    }
    item->tried.insert(choice.upstream);
    item->upstream = std::stoul(choice.upstream.substr(1));
    item->sent = now;
    ++item->sends;
    ++item->may_have_run;
    ++m_outcome.sends;
    ++m_outcome.sends_by_upstream[choice.upstream];
    pool.record_sent(choice.upstream, no_adapter, now);
    at(m_scenario.one_way_time, [this, item] { arrive(item); });
}

void plain_service_world::arrive(const request_ptr& item)
{
    auto& state = m_upstreams[item->upstream];
    if (state.losing) {
        at(m_scenario.one_way_time, [this, item] { receive(item, reply::loss); });
    }
    else if (state.running < m_scenario.slots) {
        execute(item->upstream, item);
    }
    else if (state.waiting.size() < m_scenario.queue) {
        state.waiting.push_back(item);
    }
    else {
        at(m_scenario.one_way_time, [this, item] { receive(item, reply::rejection); });
    }
}

void plain_service_world::execute(std::size_t index, const request_ptr& item)
{
    auto& state = m_upstreams[index];
    ++state.running;
    std::uniform_real_distribution<double> stretch{min_stretch, max_stretch};
    const auto time = std::chrono::duration_cast<core::duration>(
        m_scenario.service_time * (stretch(m_random) * state.slowness));
    at(time, [this, index, item] {
        auto& now_state = m_upstreams[index];
        --now_state.running;
        at(m_scenario.one_way_time, [this, item] { receive(item, reply::answer); });
        if (!now_state.waiting.empty()) {
            const auto next = now_state.waiting.front();
            now_state.waiting.pop_front();
            execute(index, next);
        }
    });
}

// Does what a gateway does when an attempt ends.
void plain_service_world::receive(const request_ptr& item, reply what)
{
    auto& pool = *m_pools[item->gateway];
    const auto now = m_clock.now();
    const auto id = id_of(item->upstream);
    const auto& state = m_upstreams[item->upstream];
    if (what != reply::loss) {
        pool.record_activity(id, now);
        pool.record_response(id, item->sent);
    }
    if (what != reply::loss && m_scenario.reports_load) {
        pool.record_load(id, {state.running, static_cast<std::uint32_t>(state.waiting.size()),
                              m_scenario.slots});
    }
    pool.record_ended(id, no_adapter);
    pool.record_outcome(id, what == reply::loss, now);
    if (what == reply::loss) {
        pool.record_loss(id, item->sent, now);
    }
    if (what == reply::answer) {
        pool.record_admission(id);
        ++(now - item->arrived <= m_scenario.latency_objective ? m_outcome.in_time
                                                               : m_outcome.late);
        return;
    }
    ++(what == reply::loss ? m_outcome.lost : m_outcome.rejected);
    item->may_have_run -= what == reply::rejection ? 1 : 0;
    gateway::forward_state attempt;
    attempt.repeatable = m_scenario.repeatable;
    attempt.may_have_run = item->may_have_run;
    attempt.attempts_sent = item->sends;
    attempt.max_attempts = 2;
    attempt.time_left = item->arrived + m_scenario.deadline - now;
    const auto outcome = what == reply::loss ? gateway::attempt_outcome::indeterminate
                                             : gateway::attempt_outcome::not_executed;
    if (gateway::decide_next_step(outcome, attempt) == gateway::next_step::retry) {
        dispatch(item);
        return;
    }
    ++(item->may_have_run > 0 ? m_outcome.failed : m_outcome.refused);
}

} // namespace siskindrift::tests
