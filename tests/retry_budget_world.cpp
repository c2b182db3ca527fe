#include "retry_budget_world.h"

#include <algorithm>

#include "siskindrift/wire/frame.h"

namespace siskindrift::tests {
namespace {

constexpr core::milliseconds step_length{10};
constexpr core::milliseconds query_interval{3000};
constexpr core::milliseconds announcement_timeout{3700};
constexpr core::milliseconds suspicious_silence{3000};
constexpr unsigned max_attempts = 3;

std::ptrdiff_t count_between(const std::vector<core::time_point>& times, core::time_point begin,
                             core::time_point end)
{
    return std::upper_bound(times.begin(), times.end(), end) -
           std::lower_bound(times.begin(), times.end(), begin);
}

} // namespace

retry_budget_world::retry_budget_world(std::uint64_t seed, retry_budget_world_options options)
    : m_options(options), m_random(seed), m_end(m_now + options.length)
{
    m_gateways.resize(m_options.gateways);
    m_weights.assign(m_options.gateways, 1.0);
    if (m_options.first_gateway_share > 0) {
        m_weights.front() = m_options.first_gateway_share / (1 - m_options.first_gateway_share) *
                            static_cast<double>(m_options.gateways - 1);
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        m_gateways[i].vm = "gateway-" + std::to_string(i);
        start(m_gateways[i]);
    }
    m_leader.begin_term(m_now);
    for (std::size_t i = 0; i < m_options.upstreams; ++i) {
        m_upstreams.push_back({{"upstream-" + std::to_string(i), 1}, {}, {}});
    }
}

core::duration retry_budget_world::random_ms(std::int64_t low, std::int64_t high)
{
    const auto span = static_cast<std::uint64_t>(high - low + 1);
    return core::milliseconds{low + static_cast<std::int64_t>(core::uniform_below(m_random, span))};
}

double retry_budget_world::uniform()
{
    return std::uniform_real_distribution<double>{}(m_random);
}

core::time_point retry_budget_world::local_time(const simulated_gateway& at) const
{
    const auto elapsed = std::chrono::duration<double>(m_now.time_since_epoch()) * at.clock_rate;
    return core::time_point{std::chrono::duration_cast<core::duration>(elapsed)} + at.clock_offset;
}

void retry_budget_world::start(simulated_gateway& at)
{
    constexpr double max_drift = 2e-4;
    ++at.process;
    at.started = m_now;
    if (at.process == 1) {
        at.clock_offset = random_ms(0, 1'000'000);
        at.clock_rate = 1 + max_drift * (2 * uniform() - 1);
    }
    at.ledger = std::make_unique<gateway::retry_ledger>(m_options.budget);
    at.share = std::make_unique<gateway::retry_share>(local_time(at), m_options.budget.window);
    at.next_query = m_now + random_ms(0, 300);
}

void retry_budget_world::schedule(core::time_point at, message deliver)
{
    m_messages.emplace(at, std::move(deliver));
}

void retry_budget_world::send(std::size_t index, message deliver)
{
    auto& at = m_gateways[index];
    auto due = m_now + random_ms(1, 5);
    if (at.cut_until > m_now) {
        if (uniform() < 0.5) {
            return;
        }
        due = at.cut_until + random_ms(1, 400); // the network holds it back
    }
    due = std::max(due, at.frozen_until);
    schedule(due, [this, index, process = at.process, deliver = std::move(deliver)] {
        if (m_gateways[index].process == process) {
            deliver();
        }
    });
}

void retry_budget_world::run()
{
    while (m_now < m_end) {
        step();
    }
    std::sort(m_arrivals.begin(), m_arrivals.end());
}

void retry_budget_world::step()
{
    m_now += step_length;
    if (m_options.faults) {
        inject_faults();
    }
    if (m_options.freeze_upstreams) {
        disturb_upstreams();
    }
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const auto deliver = m_messages.extract(m_messages.begin()).mapped();
        deliver();
    }
    run_leader();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        auto& at = m_gateways[i];
        const bool runs = at.down_until <= m_now && at.frozen_until <= m_now;
        if (runs) {
            tell_of_silent_upstreams(at);
        }
        if (runs && at.next_query <= m_now) {
            query_share(i);
        }
        receive_requests(i);
    }
}

// Callers send to a gateway that is down or frozen too; nothing is retried there.
void retry_budget_world::receive_requests(std::size_t index)
{
    double total = 0;
    for (const auto weight : m_weights) {
        total += weight;
    }
    const double rate = m_options.requests_per_s * m_traffic * m_weights[index] / total;
    const double expected = rate * std::chrono::duration<double>(step_length).count();
    auto& at = m_gateways[index];
    for (int i = 0; i < 4; ++i) {
        if (uniform() >= expected / 4) {
            continue;
        }
        m_requests.push_back(m_now);
        if (at.down_until <= m_now && at.frozen_until <= m_now) {
            at.ledger->record_request(local_time(at));
            m_sent.push_back({index, at.process, 0, false, 0, {}});
            send_attempt(m_sent.size() - 1);
        }
    }
}

std::size_t retry_budget_world::choose_upstream(const simulated_request& request)
{
    const auto& at = m_gateways[request.gateway];
    const auto now = local_time(at);
    const bool first = request.attempts == 0;
    const auto preferred =
        first ? at.ledger->unsettled_upstreams(now) : at.ledger->overdue_upstreams(now);
    std::vector<std::size_t> better;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        if (std::find(request.tried.begin(), request.tried.end(), i) == request.tried.end()) {
            const bool named = preferred.contains(m_upstreams[i].run.upstream);
            (named == first ? better : others).push_back(i);
        }
    }
    const auto& list = better.empty() ? others : better;
    return list[core::uniform_below(m_random, list.size())];
}

void retry_budget_world::send_attempt(std::uint64_t id)
{
    auto& request = m_sent[id];
    auto& at = m_gateways[request.gateway];
    const auto now = local_time(at);
    const gateway::request_key key{id};
    const auto upstream = choose_upstream(request);
    const auto run = m_upstreams[upstream].run;
    if (request.attempts > 0 && !at.ledger->try_retry(key, run, now, at.share->fraction(now))) {
        at.ledger->record_end(key, false);
        return;
    }
    at.ledger->record_sent(key, run, now);
    request.open = true;
    request.tried.push_back(upstream);
    const auto attempt = ++request.attempts;
    const double fate = uniform();
    if (fate < 0.05) {
        at.ledger->record_not_sent(key); // no connection was made
        at.ledger->record_end(key, false);
        request.open = false;
        return;
    }
    const bool given_up = fate < 0.15;
    const bool leaves = m_options.hold_links && uniform() < 0.5;
    const auto delay = given_up || leaves ? random_ms(1, 980)
                       : fate < 0.25      ? random_ms(1, 6000)
                                          : random_ms(1, 40);
    schedule(m_now + delay,
             [this, id, attempt, upstream, run] { arrive(id, attempt, upstream, run); });
    // Some are given up early and sent elsewhere.
    const bool trouble = m_options.faults || m_options.freeze_upstreams;
    const bool retry = trouble && uniform() < 0.3;
    const bool short_deadline = trouble && uniform() < 0.9;
    schedule(m_now + (given_up         ? step_length
                      : leaves         ? random_ms(20, 400)
                      : retry          ? random_ms(600, 1400)
                      : short_deadline ? random_ms(1500, 1500)
                                       : random_ms(6100, 6500)),
             [this, id, attempt, retry] { give_up(id, attempt, retry); });
}

retry_budget_world::simulated_gateway* retry_budget_world::waiting_gateway(std::uint64_t id,
                                                                           unsigned attempt)
{
    const auto& request = m_sent[id];
    auto& at = m_gateways[request.gateway];
    const bool waits = request.open && request.attempts == attempt && at.process == request.process;
    return waits ? &at : nullptr;
}

void retry_budget_world::give_up(std::uint64_t id, unsigned attempt, bool retry)
{
    auto* at = waiting_gateway(id, attempt);
    if (at == nullptr) {
        return;
    }
    if (at->frozen_until > m_now) {
        schedule(at->frozen_until, [this, id, attempt, retry] { give_up(id, attempt, retry); });
        return;
    }
    m_sent[id].open = false;
    at->ledger->record_unanswered(gateway::request_key{id}, gateway::send_end::given_up,
                                  local_time(*at));
    if (retry && attempt < max_attempts) {
        send_attempt(id);
        return;
    }
    at->ledger->record_end(gateway::request_key{id}, false);
}

// An upstream that stands still receives what was sent to it when it goes on, whether or not the
// sender still waits.
void retry_budget_world::arrive(std::uint64_t id, unsigned attempt, std::size_t upstream,
                                gateway::upstream_run run)
{
    auto& at = m_upstreams[upstream];
    if (at.run != run) {
        return; // its connections ended with it
    }
    if (at.frozen_until > m_now) {
        schedule(at.frozen_until + random_ms(1, 300),
                 [this, id, attempt, upstream, run] { arrive(id, attempt, upstream, run); });
        return;
    }
    if (m_sent[id].arrivals++ > 0) {
        m_arrivals.push_back(m_now);
    }
    const bool answered = !m_options.faults || uniform() < 0.8;
    const auto back =
        std::max(m_now + random_ms(1, 5), m_gateways[m_sent[id].gateway].frozen_until);
    schedule(back, [this, id, attempt, answered] { end_attempt(id, attempt, answered); });
}

void retry_budget_world::end_attempt(std::uint64_t id, unsigned attempt, bool answered)
{
    auto* at = waiting_gateway(id, attempt);
    if (at == nullptr) {
        return;
    }
    if (at->frozen_until > m_now) {
        schedule(at->frozen_until,
                 [this, id, attempt, answered] { end_attempt(id, attempt, answered); });
        return;
    }
    m_sent[id].open = false;
    const gateway::request_key key{id};
    if (answered) {
        at->ledger->record_answer(key, local_time(*at));
    }
    else {
        at->ledger->record_unanswered(key, gateway::send_end::peer_closed, local_time(*at));
    }
    if (attempt < max_attempts) {
        send_attempt(id);
        return;
    }
    at->ledger->record_end(key, false);
}

void retry_budget_world::add_gateway()
{
    --m_options.added_gateways;
    m_gateways.emplace_back();
    m_gateways.back().vm = "gateway-" + std::to_string(m_gateways.size());
    m_weights.push_back(1);
    start(m_gateways.back());
}

void retry_budget_world::disturb_upstreams()
{
    if (m_options.added_gateways > 0 && uniform() < 0.001) {
        add_gateway();
    }
    if (m_options.bursts && uniform() < 0.001) {
        m_traffic = m_traffic > 1 ? 0.1 : 2.5;
    }
    if (m_options.restart_gateways && uniform() < 0.0005) {
        for (auto& at : m_gateways) {
            at.down_until = m_now + random_ms(10, 1000);
            start(at);
            at.next_query = at.down_until;
        }
    }
    if (uniform() < 0.001) {
        auto& at = m_upstreams[core::uniform_below(m_random, m_upstreams.size())];
        if (at.frozen_until <= m_now) {
            at.frozen_since = m_now;
            at.frozen_until = m_now + random_ms(500, 20'000);
            at.announces = m_options.hold_links && uniform() < 0.5;
        }
    }
    if (uniform() < 0.0003) {
        auto& at = m_upstreams[core::uniform_below(m_random, m_upstreams.size())];
        const auto ended = at.run;
        ++at.run.born_ms;
        at.frozen_until = m_now;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            send(i, [this, i, ended] {
                m_gateways[i].ledger->record_run_end(ended, local_time(m_gateways[i]));
            });
        }
    }
}

// An upstream that stands still doesn't announce itself.
void retry_budget_world::tell_of_silent_upstreams(simulated_gateway& at)
{
    const bool announced =
        std::none_of(m_upstreams.begin(), m_upstreams.end(), [&](const simulated_upstream& one) {
            return one.frozen_until > m_now && !one.announces &&
                   m_now - one.frozen_since > announcement_timeout;
        });
    if (!announced || at.ledger->longest_silence(local_time(at)) > suspicious_silence) {
        at.share->record_silent_upstream(local_time(at));
    }
}

void retry_budget_world::query_share(std::size_t index)
{
    auto& at = m_gateways[index];
    at.next_query = m_now + query_interval;
    wire::retry_share_query_t query;
    query.vm = at.vm;
    query.generation = at.share->generation();
    query.sent_ms = static_cast<std::uint64_t>(core::to_ms(local_time(at).time_since_epoch()));
    send(index, [this, index, query, term = m_term] {
        if (m_leaderless_until > m_now || term != m_term) {
            return;
        }
        m_leader.record_query(query, m_now);
        tell_share(index, query.sent_ms);
    });
}

void retry_budget_world::tell_share(std::size_t index, std::uint64_t asked_ms)
{
    const auto share =
        m_leader.answer(m_state.current_retry_shares(), m_gateways[index].vm, asked_ms);
    if (!share) {
        return;
    }
    send(index, [this, index, told = *share] {
        auto& at = m_gateways[index];
        if (at.share->apply(told, local_time(at))) {
            at.next_query = m_now;
        }
    });
}

void retry_budget_world::run_leader()
{
    if (m_leaderless_until > m_now) {
        return;
    }
    const auto& shares = m_state.current_retry_shares();
    if (m_announced != shares.generation) {
        m_announced = shares.generation;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            tell_share(i, 0);
        }
    }
    const auto change = m_leader.next_change(shares, m_now);
    if (!change) {
        return;
    }
    wire::log_entry_t entry;
    entry.kind = wire::entry_kind::command;
    const auto bytes = wire::encode_table(wire::make_control_request(*change));
    entry.data.assign(bytes.begin(), bytes.end());
    // A change of leader may lose it.
    schedule(m_now + random_ms(1, 300), [this, entry, term = m_term] {
        if (term == m_term) {
            m_state.apply(entry);
        }
    });
}

void retry_budget_world::change_leader()
{
    ++m_term;
    m_leaderless_until = m_now + random_ms(300, 4000);
    m_leader.begin_term(m_leaderless_until);
    m_announced = 0;
}

void retry_budget_world::inject_faults()
{
    if (uniform() < 0.0006) {
        change_leader();
    }
    if (uniform() < 0.0006 && m_options.added_gateways > 0) {
        add_gateway();
    }
    if (uniform() < 0.004) {
        disturb(m_gateways[core::uniform_below(m_random, m_gateways.size())]);
    }
    if (uniform() < 0.0004) {
        for (auto& at : m_gateways) {
            disturb(at); // several at once
        }
    }
    if (uniform() < 0.003) {
        move_callers();
    }
}

void retry_budget_world::disturb(simulated_gateway& at)
{
    const double kind = uniform();
    if (kind < 0.4) {
        at.down_until = m_now + random_ms(10, 3000);
        start(at);
        at.next_query = at.down_until;
    }
    else if (kind < 0.6) {
        at.frozen_until = m_now + random_ms(10, 8000);
    }
    else if (kind < 0.95) {
        at.cut_until = m_now + random_ms(10, 15'000);
    }
    else {
        at.cut_until = m_now + random_ms(40'000, 100'000); // beyond the lease
    }
}

void retry_budget_world::move_callers()
{
    for (auto& weight : m_weights) {
        weight = uniform() < 0.3 ? 0.0 : uniform() * 3;
    }
    m_weights.front() += 0.01;
    m_traffic = uniform() < 0.3 ? 0.02 : 0.2 + 2 * uniform();
}

double retry_budget_world::allowed_from(core::time_point begin) const
{
    const auto window = m_options.budget.window;
    std::ptrdiff_t most = 0;
    for (const auto shift : {core::duration::zero(), window / 2, core::duration{window}}) {
        most = std::max(most, count_between(m_requests, begin - shift, begin - shift + window));
    }
    return m_options.budget.retry_ratio * static_cast<double>(most) +
           m_options.budget.extra_retries;
}

double retry_budget_world::worst_excess() const
{
    double worst = -m_options.budget.extra_retries;
    for (const auto begin : m_arrivals) {
        const auto retries = count_between(m_arrivals, begin, begin + m_options.budget.window);
        worst = std::max(worst, static_cast<double>(retries) - allowed_from(begin));
    }
    return worst;
}

double retry_budget_world::used_share() const
{
    const auto begin = m_end - m_options.budget.window;
    return static_cast<double>(count_between(m_arrivals, begin, m_end)) / allowed_from(begin);
}

} // namespace siskindrift::tests
