#include "siskindrift/control/prompt_judge.h"

#include <algorithm>
#include <cmath>

#include "siskindrift/fleet/request_part.h"

namespace siskindrift::control {
namespace {

constexpr int block_growth = 4;
constexpr std::size_t max_checks = 1024; // older ones are only repeated
constexpr std::size_t max_explained = 4096;
constexpr std::size_t max_survivals = 4096;
constexpr std::size_t max_runs = 4096;
constexpr unsigned announcement_bits = 32;         // of the numbers within one term
constexpr std::uint32_t unknown_age = 0xffff'ffff; // of a gateway that doesn't tell it

wire::blocked_part_t make_block(const std::string& part, std::uint32_t strikes,
                                const std::string& trial_vm)
{
    wire::blocked_part_t item;
    item.part = part;
    item.strikes = strikes;
    item.trial_vm = trial_vm;
    return item;
}

} // namespace

void prompt_judge::begin_term(core::time_point, std::uint64_t term)
{
    m_suspects.clear();
    m_block_times.clear();
    m_checks.clear();
    m_answered.clear();
    m_explained.clear();
    m_survivals.clear();
    m_announced.clear();
    m_announced_at = {};
    m_announcement = term << announcement_bits;
    m_run_ends.clear();
    m_ended_runs.clear();
    m_checked_runs.clear();
    m_replies.clear();
    m_proposed_on.reset();
}

void prompt_judge::record_alive(const std::string& upstream, std::uint64_t born_ms,
                                core::time_point at)
{
    if (m_run_ends.size() >= max_runs) {
        m_run_ends.clear();
    }
    auto& alive_at = m_run_ends[{upstream, born_ms}].alive_at;
    alive_at = std::max(alive_at.value_or(at), at);
}

// Narrows down when a run ended. Its end was noticed at some time; the head of an answer shows that
// the run was alive after the request had been sent.
void prompt_judge::record_run_end(const wire::prompt_evidence_t& evidence,
                                  const wire::prompt_crash_t& item, core::time_point now)
{
    const core::time_point heard_leader{core::milliseconds{evidence.leader_ms}};
    const bool timed = evidence.leader_ms != 0 && heard_leader <= now;
    if (timed && !item.without_head && item.sent_age_ms != unknown_age) {
        // The gateway heard the leader at this time or later.
        record_alive(item.upstream, item.born_ms,
                     heard_leader + core::milliseconds{evidence.leader_age_ms} -
                         core::milliseconds{item.sent_age_ms} - m_options.time_precision);
    }
    auto& ended_by = m_run_ends[{item.upstream, item.born_ms}].ended_by;
    ended_by = std::min(ended_by, now - core::milliseconds{item.age_ms});
}

prompt_judge::block_times& prompt_judge::times_of(const std::string& part, core::time_point now)
{
    const auto [found, inserted] = m_block_times.try_emplace(part);
    if (inserted) {
        found->second.since = now;
        found->second.last_refusal = now;
    }
    return found->second;
}

void prompt_judge::record_reply(const wire::prompt_evidence_t& evidence, core::time_point now)
{
    // Gateways of earlier builds don't tell which announcement they reply to.
    const bool numbered = evidence.suspects_number != 0;
    if (numbered || now - m_announced_at >= m_options.acquittal_wait) {
        m_replies[evidence.vm] = numbered ? evidence.suspects_number : m_announcement;
    }
}

std::vector<suspected_crash> prompt_judge::record_evidence(const wire::prompt_evidence_t& evidence,
                                                           const state::blocked_parts& blocked,
                                                           core::time_point now)
{
    auto& answered = m_answered[evidence.vm];
    answered.clear();
    for (const auto& item : evidence.answered) {
        answered[item->service] = {item->by_second, now};
    }
    record_reply(evidence, now);
    for (const auto& item : evidence.crashes) {
        record_run_end(evidence, *item, now);
        record_crash(*item, blocked, now);
    }
    for (const auto& item : evidence.survivals) {
        record_survival(*item, blocked, now);
    }
    for (const auto& part : evidence.refused) {
        if (blocked.parts.contains(part)) {
            auto& times = times_of(part, now);
            times.last_refusal = now;
            times.refused_by = evidence.vm;
            times.refusals[evidence.vm] = now;
        }
    }
    std::vector<suspected_crash> to_check;
    for (const auto& item : evidence.crashes) {
        if (m_checks.size() >= max_checks) {
            m_checks.clear();
        }
        suspected_crash key{item->upstream, item->request, item->born_ms};
        const upstream_run run{item->upstream, item->born_ms};
        const bool ended = m_ended_runs.contains(run);
        const check found{now - core::milliseconds{item->age_ms},
                          ended ? std::optional{true} : std::nullopt, fleet::service_of(item->part),
                          item->without_head};
        if (!m_checks.try_emplace(key, found).second) {
            continue;
        }
        if (ended) {
            record_check(key, true);
        }
        else if (m_checked_runs.insert(run).second) {
            to_check.push_back(std::move(key));
        }
    }
    return to_check;
}

void prompt_judge::record_crash(const wire::prompt_crash_t& item,
                                const state::blocked_parts& blocked, core::time_point now)
{
    const auto at = now - core::milliseconds{item.age_ms};
    const auto check = m_checks.find({item.upstream, item.request, item.born_ms});
    const auto ended = check == m_checks.end() ? std::nullopt : check->second.ended;
    if (ended == false) {
        return;
    }
    const bool explained = m_explained.contains(item.upstream) || is_acquitted(item.part, at);
    if (explained && !blocked.parts.contains(item.part)) {
        return;
    }
    if (!m_suspects.contains(item.part) && m_suspects.size() >= m_options.max_suspects) {
        make_room_for_suspect();
    }
    // Requests that were on their way when the part was blocked say nothing about its trial.
    const auto block = blocked.parts.find(item.part);
    if (block != blocked.parts.end() &&
        (block->second.trial_vm.empty() || at < times_of(item.part, now).since)) {
        times_of(item.part, now).strays.emplace(item.upstream, item.born_ms);
        return;
    }
    auto& suspected = m_suspects[item.part];
    const auto [entry, added] = suspected.crashes.try_emplace(item.upstream);
    auto& crash = entry->second;
    suspected.announced_in = added ? 0 : suspected.announced_in;
    crash.at = crash.requests.empty() ? at : std::min(crash.at, at);
    crash.requests.insert(item.request);
    crash.born_ms = std::max(crash.born_ms, item.born_ms);
    crash.ended = crash.ended || ended.value_or(false);
    suspected.last_crash = std::max(suspected.last_crash, at);
}

// Drops the suspect that has crashed fewest upstreams, the oldest of several.
void prompt_judge::make_room_for_suspect()
{
    const auto least = std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
            return std::pair{left.second.crashes.size(), left.second.last_crash} <
                   std::pair{right.second.crashes.size(), right.second.last_crash};
        });
    m_suspects.erase(least);
}

void prompt_judge::record_survival(const wire::prompt_survival_t& item,
                                   const state::blocked_parts& blocked, core::time_point now)
{
    const auto at = now - core::milliseconds{item.age_ms};
    const auto block = blocked.parts.find(item.part);
    if (block != blocked.parts.end()) {
        auto& times = times_of(item.part, now);
        const bool counts = !block->second.trial_vm.empty() || block->second.strikes == 0;
        times.trial_survived = times.trial_survived || (counts && at > times.since);
        return;
    }
    if (m_survivals.size() >= max_survivals && !m_survivals.contains(item.part)) {
        m_survivals.clear();
    }
    auto& last = m_survivals[item.part];
    last = std::max(last, at);
    const auto found = m_suspects.find(item.part);
    if (found == m_suspects.end()) {
        return;
    }
    std::erase_if(found->second.crashes,
                  [&](const auto& crash) { return is_acquitted(item.part, crash.second.at); });
    if (found->second.crashes.empty()) {
        m_suspects.erase(found);
    }
}

// Returns whether an engine went on with an answer on `part` so late that a crash at time `crash`
// doesn't speak against it.
bool prompt_judge::is_acquitted(const std::string& part, core::time_point crash) const
{
    const auto found = m_survivals.find(part);
    return found != m_survivals.end() && found->second > crash - m_options.acquittal_age;
}

void prompt_judge::record_check(const suspected_crash& checked, bool ended)
{
    const upstream_run run{checked.upstream, checked.born_ms};
    m_checked_runs.erase(run);
    if (ended) {
        if (m_ended_runs.size() >= max_runs) {
            m_ended_runs.clear();
        }
        m_ended_runs.insert(run);
    }
    std::set<std::string> requests; // that were lost at the run and wait for this check
    const suspected_crash first{checked.upstream, "", 0};
    for (auto item = m_checks.lower_bound(first);
         item != m_checks.end() && item->first.upstream == checked.upstream; ++item) {
        if (item->first.born_ms == checked.born_ms && !item->second.ended.value_or(false)) {
            item->second.ended = ended;
            requests.insert(item->first.request);
        }
    }
    requests.insert(checked.request);
    for (auto item = m_suspects.begin(); item != m_suspects.end();) {
        auto& crashes = item->second.crashes;
        const auto found = crashes.find(checked.upstream);
        const bool concerned =
            found != crashes.end() &&
            std::any_of(requests.begin(), requests.end(), [&](const std::string& request) {
                return found->second.requests.contains(request);
            });
        if (concerned) {
            found->second.ended = found->second.ended || ended;
            if (!ended) {
                std::erase_if(found->second.requests, [&](const std::string& request) {
                    return requests.contains(request);
                });
            }
            if (found->second.requests.empty()) {
                crashes.erase(found);
            }
        }
        item = crashes.empty() ? m_suspects.erase(item) : std::next(item);
    }
}

// Returns the time from which on an answer on a suspected part acquits it.
core::time_point prompt_judge::acquitted_from(const suspect& item) const
{
    auto first = item.last_crash;
    for (const auto& [upstream, crash] : item.crashes) {
        first = std::min(first, crash.at);
    }
    return first - m_options.acquittal_age;
}

// Returns the number of answers of a service that upstreams went on with in the whole seconds after
// `begin`.
double prompt_judge::answers_since(const std::string& service, core::time_point begin,
                                   core::time_point now) const
{
    double answers = 0;
    for (const auto& [vm, services] : m_answered) {
        const auto counts = services.find(service);
        if (counts == services.end()) {
            continue;
        }
        auto second_begin = counts->second.reported;
        for (const auto count : counts->second.by_second) {
            second_begin -= std::chrono::seconds{1};
            if (second_begin < begin || begin > now) {
                break;
            }
            answers += count;
        }
    }
    return answers;
}

// Returns the share of the service's answers on other parts that were lost, in the time in which an
// answer on this part would have acquitted it. For a prompt part only answers that had begun count.
double prompt_judge::share_lost(const std::string& part, const suspect& item,
                                core::time_point now) const
{
    const auto service = fleet::service_of(part);
    const bool whole = fleet::is_whole_request(part);
    const auto begin = acquitted_from(item);
    const auto recent = [&](core::time_point at) { return at >= begin; };
    const double answered = answers_since(service, begin, now);
    double lost = 0;
    for (const auto& [crash, check] : m_checks) {
        const bool counts = !m_explained.contains(crash.upstream) && check.service == service &&
                            (whole || !check.without_head);
        lost += counts && check.ended == true && recent(check.at) ? 1 : 0;
    }
    for (const auto& [upstream, crash] : item.crashes) {
        if (crash.ended && recent(crash.at)) {
            lost -= static_cast<double>(crash.requests.size());
        }
    }
    // One answer of each kind that wasn't seen keeps the share from 0 and 1.
    lost = std::max(lost, 0.0) + 1;
    return lost / (answered + lost + 1);
}

// Returns whether one run was still alive after another had ended. If it isn't known when an
// upstream was alive, its end speaks against a whole request only.
bool prompt_judge::ended_after(const run_end& later, const run_end& earlier, bool whole) const
{
    if (later.alive_at && *later.alive_at > earlier.ended_by) {
        return true;
    }
    return whole && !later.alive_at && later.ended_by - earlier.ended_by > m_options.same_cause;
}

// Returns the ends of as many upstreams as possible of which each ended after the one before.
std::vector<prompt_judge::run_end>
prompt_judge::separate_ends(const std::string& part, const suspect& item, bool confirmed) const
{
    const bool whole = fleet::is_whole_request(part);
    std::vector<run_end> ends;
    for (const auto& [upstream, crash] : item.crashes) {
        const auto found = m_run_ends.find({upstream, crash.born_ms});
        if (found != m_run_ends.end() && (crash.ended || !confirmed)) {
            ends.push_back(found->second);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const run_end& left, const run_end& right) {
        return left.ended_by < right.ended_by;
    });
    std::vector<run_end> separate;
    for (const auto& end : ends) {
        if (separate.empty() || ended_after(end, separate.back(), whole)) {
            separate.push_back(end);
        }
    }
    return separate;
}

// Returns whether all gateways have told their answers on a part since its last crash was heard of.
bool prompt_judge::answers_known(const suspect& item) const
{
    return m_gateways.empty() ||
           (item.announced_in != 0 &&
            std::all_of(m_gateways.begin(), m_gateways.end(), [&](const std::string& vm) {
                const auto reply = m_replies.find(vm);
                return reply != m_replies.end() && reply->second >= item.announced_in;
            }));
}

// Returns whether answers on a part would make a difference.
bool prompt_judge::needs_answers(const std::string& part, const suspect& item) const
{
    return item.crashes.size() + 1 >= m_options.crashes_to_block &&
           (fleet::is_whole_request(part) ||
            separate_ends(part, item, false).size() + 1 >= m_options.crashes_to_block);
}

bool prompt_judge::is_guilty(const std::string& part, const suspect& item,
                             core::time_point now) const
{
    if (item.crashes.size() < m_options.crashes_to_block) {
        return false;
    }
    const auto ends = separate_ends(part, item, true);
    if (ends.size() < m_options.crashes_to_block) {
        return false;
    }
    const auto lost = share_lost(part, item, now);
    for (auto count = m_options.crashes_to_block; count <= ends.size(); ++count) {
        if (std::pow(lost, static_cast<double>(count)) <= m_options.max_chance) {
            return now - ends[count - 1].ended_by >= m_options.acquittal_wait &&
                   answers_known(item);
        }
    }
    return false;
}

// Returns whether a whole request must be tried before it is sent as usual again.
bool prompt_judge::is_suspicious(const std::string& part, const suspect& item,
                                 core::time_point now) const
{
    const auto ended = std::count_if(item.crashes.begin(), item.crashes.end(),
                                     [](const auto& crash) { return crash.second.ended; });
    return fleet::is_whole_request(part) &&
           static_cast<std::size_t>(ended) >= m_options.crashes_to_block &&
           now - item.last_crash >= m_options.acquittal_wait;
}

// Returns the guilty part under which most engines ended, of those that engines have answered on
// least recently, or null.
const std::string* prompt_judge::find_guilty(const state::blocked_parts& blocked,
                                             core::time_point now) const
{
    const std::string* guilty = nullptr;
    const auto last_survival = [&](const std::string& part) {
        const auto survival = m_survivals.find(part);
        return survival == m_survivals.end() ? core::time_point{} : survival->second;
    };
    const auto is_worse = [&](const std::string& left, const std::string& right) {
        const auto left_survival = last_survival(left);
        const auto right_survival = last_survival(right);
        return left_survival == right_survival
                   ? m_suspects.at(left).crashes.size() > m_suspects.at(right).crashes.size()
                   : left_survival < right_survival;
    };
    for (const auto& [part, suspected] : m_suspects) {
        const bool found = !blocked.parts.contains(part) && is_guilty(part, suspected, now);
        if (found && (guilty == nullptr || is_worse(part, *guilty))) {
            guilty = &part;
        }
    }
    return guilty;
}

// Removes the upstreams that ended under `guilty` from the evidence against other parts.
void prompt_judge::explain_crashes(const std::string& guilty, const std::set<std::string>& ended)
{
    if (m_explained.size() > max_explained) {
        m_explained.clear();
    }
    m_explained.insert(ended.begin(), ended.end());
    for (auto& [part, suspected] : m_suspects) {
        if (part != guilty) {
            std::erase_if(suspected.crashes,
                          [&](const auto& crash) { return ended.contains(crash.first); });
        }
    }
}

bool prompt_judge::is_popular(const block_times& times, core::time_point now) const
{
    const auto gateways = static_cast<std::size_t>(
        std::count_if(times.refusals.begin(), times.refusals.end(), [&](const auto& refusal) {
            return now - refusal.second <= m_options.popular_window;
        }));
    return gateways >= m_options.min_popular_gateways &&
           static_cast<double>(gateways) >=
               m_options.popular_share * static_cast<double>(m_gateways.size());
}

std::size_t prompt_judge::count_popular(const state::blocked_parts& blocked,
                                        core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_block_times.begin(), m_block_times.end(), [&](const auto& item) {
            return blocked.parts.contains(item.first) && is_popular(item.second, now);
        }));
}

core::duration prompt_judge::block_time(std::uint32_t strikes, bool popular) const
{
    if (strikes == 0) {
        return {};
    }
    auto time = popular ? m_options.first_popular_block : m_options.first_block;
    for (std::uint32_t i = 1; i < strikes && time < m_options.longest_block; ++i) {
        time *= block_growth;
    }
    return std::min(time, m_options.longest_block);
}

void prompt_judge::judge_suspects(const state::blocked_parts& blocked,
                                  wire::change_blocked_parts_t& change, core::time_point now)
{
    const auto* guilty = find_guilty(blocked, now);
    if (guilty != nullptr && blocked.parts.size() < m_options.max_blocked) {
        wire::append(change.block, make_block(*guilty, 1, ""));
        std::set<std::string> ended;
        for (const auto& [upstream, crash] : m_suspects.at(*guilty).crashes) {
            ended.insert(upstream);
        }
        explain_crashes(*guilty, ended);
    }
    for (const auto& [part, suspected] : m_suspects) {
        const auto size = blocked.parts.size() + change.block.size();
        if ((guilty == nullptr || part != *guilty) && !blocked.parts.contains(part) &&
            size < m_options.max_blocked && is_suspicious(part, suspected, now)) {
            wire::append(change.block, make_block(part, 0, ""));
        }
    }
    for (auto item = m_suspects.begin(); item != m_suspects.end();) {
        const auto& [part, suspected] = *item;
        const auto block = blocked.parts.find(part);
        if (block != blocked.parts.end()) {
            // One engine is enough for a part that was blocked before.
            const bool crashed = std::any_of(suspected.crashes.begin(), suspected.crashes.end(),
                                             [](const auto& crash) { return crash.second.ended; });
            if (crashed) {
                auto& times = times_of(part, now);
                times.trial_crash = suspected.last_crash;
                times.trial_crashed = true;
                for (const auto& [upstream, crash] : suspected.crashes) {
                    times.ended.insert(upstream);
                    times.trial_ended.emplace(upstream, crash.born_ms);
                }
                item = m_suspects.erase(item);
                continue;
            }
        }
        if (suspected.crashes.empty() || now - suspected.last_crash > m_options.suspicion_time) {
            item = m_suspects.erase(item);
            continue;
        }
        ++item;
    }
}

// Returns the blocked parts that may be tried now. Of the whole requests of a service only one is
// tried at a time, so that a crash speaks against that one.
std::set<std::string> prompt_judge::choose_trials(const state::blocked_parts& blocked,
                                                  core::time_point now)
{
    std::set<std::string> trials;
    std::set<std::string> busy; // services
    for (const auto& [part, block] : blocked.parts) {
        if (fleet::is_whole_request(part) && !block.trial_vm.empty()) {
            busy.insert(fleet::service_of(part));
        }
    }
    std::map<std::string, std::string> oldest; // by service
    for (const auto& [part, block] : blocked.parts) {
        const auto& times = times_of(part, now);
        if (!block.trial_vm.empty() ||
            now - times.since <= block_time(block.strikes, is_popular(times, now)) ||
            times.last_refusal <= times.since || times.refused_by.empty()) {
            continue;
        }
        if (!fleet::is_whole_request(part)) {
            trials.insert(part);
            continue;
        }
        const auto service = fleet::service_of(part);
        auto& first = oldest[service];
        if (first.empty() || times.since < times_of(first, now).since) {
            first = part;
        }
    }
    for (const auto& [service, part] : oldest) {
        if (!busy.contains(service)) {
            trials.insert(part);
        }
    }
    return trials;
}

// Returns whether the upstream that ended under a suspected request on trial may have ended because
// of another one, which was on its way there when it was blocked.
bool prompt_judge::may_be_company(const std::string& part, const state::blocked_parts& blocked,
                                  core::time_point now)
{
    const auto& ended = times_of(part, now).trial_ended;
    return std::any_of(blocked.parts.begin(), blocked.parts.end(), [&](const auto& other) {
        const auto& strays = times_of(other.first, now).strays;
        return other.first != part && fleet::is_whole_request(other.first) &&
               std::any_of(strays.begin(), strays.end(),
                           [&](const auto& run) { return ended.contains(run); });
    });
}

void prompt_judge::judge_block(const std::string& part, const state::blocked_parts& blocked,
                               bool trial_due, wire::change_blocked_parts_t& change,
                               core::time_point now)
{
    const auto& block = blocked.parts.at(part);
    auto& times = times_of(part, now);
    const auto restart = [&](std::uint32_t strikes, const std::string& trial_vm) {
        wire::append(change.block, make_block(part, strikes, trial_vm));
        times.since = now;
        times.trial_crashed = false;
        times.trial_survived = false;
        times.trial_ended.clear();
        times.strays.clear();
    };
    const bool in_trial = !block.trial_vm.empty();
    const bool crashed = in_trial && times.trial_crashed;
    const bool suspected = block.strikes == 0;
    const bool answered = (in_trial || suspected) && !crashed && times.trial_survived;
    const bool unasked = !in_trial && now - times.last_refusal > m_options.idle_release;
    const auto timeout = suspected ? m_options.suspect_trial_timeout : m_options.trial_timeout;
    if (crashed && suspected) {
        if (now - times.trial_crash < m_options.acquittal_wait) {
            return; // what else was lost there is told by then
        }
        const bool guilty = !may_be_company(part, blocked, now);
        if (guilty) {
            explain_crashes(part, times.ended);
        }
        restart(guilty ? 1 : 0, "");
    }
    else if (crashed) {
        restart(block.strikes + 1, "");
    }
    else if (answered || unasked) {
        change.release.push_back(part);
    }
    else if (in_trial && now - times.since > timeout) {
        restart(block.strikes, "");
    }
    else if (trial_due) {
        restart(block.strikes, times.refused_by);
    }
}

std::optional<wire::change_blocked_parts_t>
prompt_judge::next_change(const state::blocked_parts& blocked, core::time_point now)
{
    if (m_proposed_on == blocked.generation) {
        return std::nullopt;
    }
    std::erase_if(m_block_times,
                  [&](const auto& item) { return !blocked.parts.contains(item.first); });
    wire::change_blocked_parts_t change;
    judge_suspects(blocked, change, now);
    const auto trials = choose_trials(blocked, now);
    for (const auto& [part, block] : blocked.parts) {
        judge_block(part, blocked, trials.contains(part), change, now);
    }
    if (change.block.empty() && change.release.empty()) {
        return std::nullopt;
    }
    m_proposed_on = blocked.generation;
    return change;
}

std::optional<wire::prompt_suspects_t> prompt_judge::take_suspects(core::time_point now)
{
    if (m_announced_at != core::time_point{} &&
        now - m_announced_at < m_options.announce_interval) {
        return std::nullopt;
    }
    std::set<std::string> parts;
    bool news = false;
    for (const auto& [part, suspected] : m_suspects) {
        if (needs_answers(part, suspected)) {
            parts.insert(part);
            news = news || suspected.announced_in == 0;
        }
    }
    if (parts == m_announced && !news) {
        return std::nullopt;
    }
    ++m_announcement;
    for (const auto& part : parts) {
        auto& announced_in = m_suspects.at(part).announced_in;
        announced_in = announced_in == 0 ? m_announcement : announced_in;
    }
    m_announced = parts;
    m_announced_at = now;
    wire::prompt_suspects_t suspects;
    suspects.parts.assign(parts.begin(), parts.end());
    suspects.number = m_announcement;
    return suspects;
}

std::vector<std::string> prompt_judge::crashes_of(const std::string& part) const
{
    std::vector<std::string> texts;
    if (const auto found = m_suspects.find(part); found != m_suspects.end()) {
        for (const auto& [upstream, crash] : found->second.crashes) {
            for (const auto& request : crash.requests) {
                auto text = upstream;
                text.append("/").append(request);
                texts.push_back(std::move(text));
            }
        }
    }
    return texts;
}

} // namespace siskindrift::control
