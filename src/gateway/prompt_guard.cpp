#include "siskindrift/gateway/prompt_guard.h"

#include <algorithm>
#include <utility>

#include "siskindrift/fleet/request_part.h"

namespace siskindrift::gateway {
namespace {

constexpr std::int64_t ms_per_second = 1000;

std::uint32_t age_ms(core::time_point at, core::time_point now)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_ms(now - at), 0));
}

} // namespace

request_parts prompt_guard::parts_of(const std::string& service,
                                     const std::vector<prompt_part>& prompt,
                                     const std::string& digest)
{
    request_parts parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        parts.push_back(fleet::prompt_part_name(service, to_string(prompt[i])));
    }
    parts.push_back(fleet::whole_request_name(service, digest));
    return parts;
}

bool prompt_guard::apply_blocked(const wire::fleet_update_t& update)
{
    if (!update.blocked_included || update.blocked_generation <= m_generation) {
        return false;
    }
    m_generation = update.blocked_generation;
    m_blocked.clear();
    for (const auto& item : update.blocked) {
        m_blocked[item->part] = {item->trial_vm == m_vm, item->strikes == 0};
    }
    return true;
}

void prompt_guard::begin_leader()
{
    m_suspects.clear();
    m_suspects_number = 0;
    for (auto& crash : m_crashes) {
        crash.reported = false;
    }
    m_news = !m_crashes.empty();
}

void prompt_guard::set_suspects(const wire::prompt_suspects_t& suspects, core::time_point now)
{
    m_suspects = {suspects.parts.begin(), suspects.parts.end()};
    m_suspects_number = suspects.number;
    m_news = !m_suspects.empty();
    for (const auto& part : m_suspects) {
        for (const auto* answers : {&m_answered, &m_answered_before}) {
            const auto found = answers->find(part);
            if (found != answers->end() && found->second <= now) {
                queue_survival(part, found->second);
                break;
            }
        }
    }
}

void prompt_guard::queue_survival(const std::string& part, core::time_point at)
{
    m_survivals[part] = at;
    m_news = true;
}

std::optional<blocked_request> prompt_guard::find_blocked(const request_parts& parts)
{
    for (const auto& part : parts) {
        const auto found = m_blocked.find(part);
        if (found == m_blocked.end()) {
            continue;
        }
        if (std::exchange(found->second.may_try, false)) {
            continue; // the trial
        }
        m_refused.insert(part);
        return blocked_request{part, found->second.suspected};
    }
    return std::nullopt;
}

bool prompt_guard::has_blocked(const request_parts& parts) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [&](const std::string& part) { return m_blocked.contains(part); });
}

bool prompt_guard::has_guilty(const request_parts& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const std::string& part) {
        const auto found = m_blocked.find(part);
        return found != m_blocked.end() && !found->second.suspected;
    });
}

void prompt_guard::restore_trial(const request_parts& parts)
{
    for (const auto& part : parts) {
        if (const auto found = m_blocked.find(part); found != m_blocked.end()) {
            found->second.may_try = true;
        }
    }
}

void prompt_guard::record_answer(const std::string& service, const request_parts& parts,
                                 core::time_point now)
{
    const auto second = core::to_ms(now.time_since_epoch()) / ms_per_second;
    auto& counts = m_answer_counts[service];
    if (counts.empty() || counts.back().first != second) {
        counts.emplace_back(second, 0);
    }
    ++counts.back().second;
    if (counts.size() > m_options.seconds_counted) {
        counts.pop_front();
    }
    for (const auto& part : parts) {
        if (m_answered.size() >= m_options.max_answered && !m_answered.contains(part)) {
            m_answered_before = std::exchange(m_answered, {});
        }
        m_answered[part] = now;
        if (m_suspects.contains(part) || m_blocked.contains(part)) {
            queue_survival(part, now);
        }
    }
}

void prompt_guard::record_crash(const crash_report& crash, core::time_point now)
{
    for (const auto& part : crash.parts) {
        m_crashes.push_back({part, crash.upstream, crash.request, crash.born_ms, crash.without_head,
                             crash.sent, now});
        m_news = true;
    }
    while (m_crashes.size() > m_options.max_crashes) {
        m_crashes.pop_front();
    }
}

std::vector<std::uint32_t> prompt_guard::count_answers(const second_counts& counted,
                                                       core::time_point now) const
{
    const auto newest = core::to_ms(now.time_since_epoch()) / ms_per_second;
    std::vector<std::uint32_t> counts(m_options.seconds_counted, 0);
    for (const auto& [second, answers] : counted) {
        const auto age = static_cast<std::size_t>(std::max<std::int64_t>(newest - second, 0));
        if (age < counts.size()) {
            counts[age] = answers;
        }
    }
    while (!counts.empty() && counts.back() == 0) {
        counts.pop_back();
    }
    return counts;
}

std::optional<wire::prompt_evidence_t> prompt_guard::take_evidence(const leader_time& leader,
                                                                   core::time_point now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > m_options.report_time) {
        m_crashes.pop_front();
    }
    const bool asked = std::exchange(m_news, false);
    if (!asked && m_refused.empty()) {
        return std::nullopt;
    }
    wire::prompt_evidence_t evidence;
    evidence.vm = m_vm;
    evidence.suspects_number = m_suspects_number;
    if (leader.leader_ms != 0) {
        evidence.leader_ms = leader.leader_ms;
        evidence.leader_age_ms = age_ms(leader.heard, now);
    }
    for (const auto& [service, counted] : m_answer_counts) {
        wire::service_answers_t answers;
        answers.service = service;
        answers.by_second = count_answers(counted, now);
        wire::append(evidence.answered, std::move(answers));
    }
    for (auto& item : m_crashes) {
        if (std::exchange(item.reported, true)) {
            continue;
        }
        wire::prompt_crash_t crash;
        crash.part = item.part;
        crash.upstream = item.upstream;
        crash.request = item.request;
        crash.age_ms = age_ms(item.at, now);
        crash.born_ms = item.born_ms;
        crash.without_head = item.without_head;
        crash.sent_age_ms = age_ms(item.sent, now);
        wire::append(evidence.crashes, std::move(crash));
    }
    for (const auto& [part, at] : std::exchange(m_survivals, {})) {
        wire::prompt_survival_t survival;
        survival.part = part;
        survival.age_ms = age_ms(at, now);
        wire::append(evidence.survivals, std::move(survival));
    }
    for (const auto& part : std::exchange(m_refused, {})) {
        evidence.refused.push_back(part);
    }
    return evidence;
}

} // namespace siskindrift::gateway
