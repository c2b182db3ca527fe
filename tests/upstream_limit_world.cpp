#include "upstream_limit_world.h"

#include <algorithm>

#include "siskindrift/fleet/retry_timing.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::tests {
namespace {

constexpr core::milliseconds step_length{5};
constexpr core::milliseconds learning_time{3000};
constexpr core::milliseconds window{4000};
constexpr double slack_ratio = 1.5;
constexpr double slack_requests = 5;
constexpr std::uint64_t born_ms = 77;
const std::string upstream = "upstream";

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

upstream_limit_world::upstream_limit_world(std::uint64_t seed, upstream_limit_world_options options)
    : m_options(options), m_random(seed), m_end(m_now + options.length)
{
    m_gateways.resize(m_options.gateways);
    if (m_options.first_gateway_share > 0) {
        m_gateways.front().weight = m_options.first_gateway_share /
                                    (1 - m_options.first_gateway_share) *
                                    static_cast<double>(m_options.gateways - 1);
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        m_gateways[i].vm = "gateway-" + std::to_string(i);
        m_gateways[i].unaware = i > 0 && uniform() < m_options.unaware_share;
        start(m_gateways[i]);
        m_gateways[i].attached = true;
    }
    m_leader.begin_term(m_now);
}

core::duration upstream_limit_world::random_ms(std::int64_t low, std::int64_t high)
{
    const auto span = static_cast<std::uint64_t>(high - low + 1);
    return core::milliseconds{low + static_cast<std::int64_t>(core::uniform_below(m_random, span))};
}

double upstream_limit_world::uniform()
{
    return std::uniform_real_distribution<double>{}(m_random);
}

core::time_point upstream_limit_world::local_time(const simulated_gateway& at) const
{
    const auto elapsed = std::chrono::duration<double>(m_now.time_since_epoch()) * at.clock_rate;
    return core::time_point{std::chrono::duration_cast<core::duration>(elapsed)} + at.clock_offset;
}

bool upstream_limit_world::runs(const simulated_gateway& at) const
{
    return at.down_until <= m_now && at.frozen_until <= m_now;
}

void upstream_limit_world::start(simulated_gateway& at)
{
    constexpr double max_drift = 2e-4;
    ++at.process;
    if (at.process == 1) {
        at.clock_offset = random_ms(0, 1'000'000);
        at.clock_rate = 1 + max_drift * (2 * uniform() - 1);
    }
    at.limits = std::make_unique<gateway::upstream_limits>(at.vm);
    at.waiting = 0;
    at.attached = false;
}

void upstream_limit_world::schedule(core::time_point at, message deliver)
{
    m_messages.emplace(at, std::move(deliver));
}

void upstream_limit_world::send(std::size_t index, message deliver)
{
    auto& at = m_gateways[index];
    auto due = m_now + random_ms(1, 5);
    if (at.cut_until > m_now) {
        if (uniform() < 0.5) {
            return;
        }
        due = at.cut_until + random_ms(1, 400); // the network holds it back
    }
    deliver_at(due, index, std::move(deliver));
}

void upstream_limit_world::deliver_at(core::time_point due, std::size_t index, message deliver)
{
    const auto& at = m_gateways[index];
    schedule(std::max(due, at.frozen_until),
             [this, index, process = at.process, deliver = std::move(deliver)] {
                 if (m_gateways[index].process != process) {
                     return;
                 }
                 if (m_gateways[index].frozen_until > m_now) {
                     deliver_at(m_now, index, deliver); // it was frozen meanwhile
                     return;
                 }
                 deliver();
             });
}

void upstream_limit_world::run()
{
    while (m_now < m_end) {
        step();
    }
    std::sort(m_arrivals.begin(), m_arrivals.end());
}

void upstream_limit_world::step()
{
    m_now += step_length;
    if (m_options.faults) {
        inject_faults();
    }
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const auto deliver = m_messages.extract(m_messages.begin()).mapped();
        deliver();
    }
    run_leader();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        auto& at = m_gateways[i];
        if (runs(at) && at.waiting > 0 && at.wait_end <= m_now) {
            at.limits->record_silence(upstream, local_time(at));
            at.waiting = 0; // they go elsewhere
        }
        receive_requests(i);
    }
}

void upstream_limit_world::receive_requests(std::size_t index)
{
    double total = 0;
    for (const auto& at : m_gateways) {
        total += at.weight;
    }
    const double expected = m_options.demand * m_options.limit.per_s * m_gateways[index].weight /
                            total * seconds(step_length);
    constexpr int draws = 4;
    for (int i = 0; i < draws; ++i) {
        const auto& at = m_gateways[index];
        if (uniform() < expected / draws && runs(at) && at.attached) {
            admit(index, false);
        }
    }
}

void upstream_limit_world::admit(std::size_t index, bool waited)
{
    auto& at = m_gateways[index];
    const auto now = local_time(at);
    switch (at.limits->admission(upstream, born_ms, now).result) {
    case gateway::send_admission::kind::allowed:
        at.limits->consume(upstream, now);
        send_request(index);
        return;
    case gateway::send_admission::kind::needs_permit:
        if (!waited) {
            ++at.waiting;
            at.wait_end = m_now + at.limits->answer_timeout();
            at.limits->add_wish(upstream);
            query(index);
        }
        return;
    case gateway::send_admission::kind::refused:
        return;
    }
}

void upstream_limit_world::send_request(std::size_t index)
{
    auto& at = m_gateways[index];
    const double fate = uniform();
    if (fate < 0.02 && at.limits->limit_of(upstream, born_ms)) {
        at.limits->restore(upstream); // no connection was made
        return;
    }
    const bool late = m_options.faults && fate > 0.9;
    const auto delay =
        late ? random_ms(1, core::to_ms(fleet::late_arrival_limit)) : random_ms(1, 3);
    const auto sent = local_time(at);
    schedule(m_now + delay, [this, index, sent, late] {
        m_arrivals.push_back(m_now);
        if (late || m_gateways[index].unaware) {
            return; // its answer is lost
        }
        deliver_at(m_now + random_ms(1, 3), index, [this, index, sent] {
            auto& receiver = m_gateways[index];
            if (receiver.limits->record_answer({upstream, born_ms, m_options.limit, sent},
                                               local_time(receiver))) {
                query(index);
            }
        });
    });
}

void upstream_limit_world::query(std::size_t index)
{
    auto& at = m_gateways[index];
    const auto query = at.limits->take_query(local_time(at));
    if (!query) {
        return;
    }
    send(index, [this, index, message = *query, term = m_term] {
        if (m_leaderless_until > m_now || term != m_term) {
            return;
        }
        for (const auto& observed : message.observed) {
            (void)m_leader.record_observation(*observed, m_state.current_upstream_limits(), m_now);
        }
        wire::send_permit_grant_t grant;
        grant.asked_ms = message.sent_ms;
        for (const auto& wish : message.wishes) {
            wire::append(grant.permits,
                         m_leader.grant(*wish, m_state.current_upstream_limits(), m_now));
        }
        send(index, [this, index, grant] {
            auto& receiver = m_gateways[index];
            receiver.limits->apply_grant(grant, local_time(receiver));
            for (auto waiting = std::exchange(receiver.waiting, 0); waiting > 0; --waiting) {
                admit(index, true);
            }
        });
    });
}

void upstream_limit_world::publish(std::size_t index)
{
    wire::fleet_update_t update;
    update.limits_included = true;
    update.limits_generation = m_state.current_upstream_limits().generation;
    for (const auto& [name, limit] : m_state.current_upstream_limits().entries) {
        wire::upstream_limit_t item;
        item.upstream = name;
        item.born_ms = limit.born_ms;
        item.per_s = limit.rate.per_s;
        wire::append(update.limits, std::move(item));
    }
    send(index, [this, index, update] {
        auto& receiver = m_gateways[index];
        receiver.limits->apply_limits(update, local_time(receiver));
        receiver.attached = true;
    });
}

void upstream_limit_world::run_leader()
{
    if (m_leaderless_until > m_now) {
        return;
    }
    const auto& limits = m_state.current_upstream_limits();
    if (m_published != limits.generation) {
        m_published = limits.generation;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            publish(i);
        }
    }
    const auto run_of = [](const std::string&) { return std::optional{born_ms}; };
    const auto change = m_leader.next_change(limits, run_of, m_now);
    if (!change) {
        return;
    }
    wire::log_entry_t entry;
    entry.kind = wire::entry_kind::command;
    const auto bytes = wire::encode_table(wire::make_control_request(*change));
    entry.data.assign(bytes.begin(), bytes.end());
    // A change of leader may lose it.
    schedule(m_now + random_ms(1, 100), [this, entry, term = m_term] {
        if (term == m_term) {
            m_state.apply(entry);
        }
    });
}

void upstream_limit_world::inject_faults()
{
    if (uniform() < 0.0003) {
        ++m_term;
        m_leaderless_until = m_now + random_ms(300, 4000);
        m_leader.begin_term(m_leaderless_until);
    }
    const bool all = uniform() < 0.0002;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        auto& at = m_gateways[i];
        if (!all && uniform() >= 0.002 / static_cast<double>(m_gateways.size())) {
            continue;
        }
        const double kind = uniform();
        if (kind < 0.4) {
            at.down_until = m_now + random_ms(10, 3000);
            start(at);
            schedule(std::max(at.down_until, at.cut_until), [this, i] { publish(i); });
        }
        else if (kind < 0.6) {
            at.frozen_until = m_now + random_ms(10, 8000);
        }
        else {
            at.cut_until = m_now + random_ms(10, 15'000);
        }
    }
}

double upstream_limit_world::worst_excess() const
{
    const auto allowed = slack_ratio * m_options.limit.per_s * seconds(window) + slack_requests;
    double worst = -allowed;
    const auto first =
        std::lower_bound(m_arrivals.begin(), m_arrivals.end(), m_begin + learning_time);
    for (auto begin = first; begin != m_arrivals.end(); ++begin) {
        const auto end = std::upper_bound(begin, m_arrivals.end(), *begin + window);
        worst = std::max(worst, static_cast<double>(end - begin) - allowed);
    }
    return worst;
}

double upstream_limit_world::used_share() const
{
    const auto begin = m_begin + learning_time;
    const auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), begin);
    return static_cast<double>(m_arrivals.end() - first) /
           (m_options.limit.per_s * seconds(m_end - begin));
}

} // namespace siskindrift::tests
