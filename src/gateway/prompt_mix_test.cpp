#include "siskindrift/gateway/prompt_mix.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include "siskindrift/core/random.h"

using namespace siskindrift;
using gateway::prompt_mix;

namespace {

struct kind_of_request {
    std::string name;
    double per_s;
    double tokens;
    double objective_ms;
    int in_time = 0;
    int asked = 0;
};

// One engine that reads prompts one after the other. Requests arrive at random times.
class engine_model {
public:
    explicit engine_model(std::vector<kind_of_request> kinds) : m_kinds(std::move(kinds)) {}

    // Plays some minutes and returns the share of each kind that was read in time.
    std::vector<double> play(bool ranked)
    {
        constexpr double length_ms = 400'000;
        constexpr double tokens_per_ms = 38;
        prompt_mix mix;
        std::vector<double> next(m_kinds.size());
        std::deque<waiting> first;
        std::deque<waiting> others;
        double now = 0;
        double free_at = 0;
        while (now < length_ms) {
            now += 1;
            for (std::size_t i = 0; i < m_kinds.size(); ++i) {
                for (; next[i] <= now; next[i] += pause(m_kinds[i].per_s)) {
                    const double tokens = m_kinds[i].tokens * draw_size();
                    mix.record(m_kinds[i].name, tokens, at(now));
                    const bool before = ranked && mix.comes_first(m_kinds[i].name);
                    (before ? first : others).push_back({i, tokens, now});
                    ++m_kinds[i].asked;
                }
            }
            while (free_at <= now && !(first.empty() && others.empty())) {
                auto& queue = first.empty() ? others : first;
                const auto item = queue.front();
                queue.pop_front();
                free_at = std::max(free_at, now) + item.tokens / tokens_per_ms;
                auto& kind = m_kinds[item.kind];
                kind.in_time += free_at - item.arrived <= kind.objective_ms ? 1 : 0;
            }
        }
        std::vector<double> shares;
        for (const auto& kind : m_kinds) {
            shares.push_back(static_cast<double>(kind.in_time) / kind.asked);
        }
        return shares;
    }

private:
    struct waiting {
        std::size_t kind;
        double tokens;
        double arrived;
    };

    static core::time_point at(double ms)
    {
        return core::time_point{} + core::milliseconds{static_cast<std::int64_t>(ms)};
    }
    double pause(double per_s) { return -std::log(uniform()) * 1000 / per_s; }
    double draw_size() { return -std::log(uniform()); }
    double uniform()
    {
        constexpr std::uint64_t range = 1'000'000;
        return (1 + static_cast<double>(core::uniform_below(m_random, range))) / range;
    }

    std::vector<kind_of_request> m_kinds;
    core::random_source m_random{7};
};

std::string text(const std::vector<double>& before, const std::vector<double>& after)
{
    std::string line;
    for (std::size_t i = 0; i < before.size(); ++i) {
        line += std::to_string(before[i]) + " -> " + std::to_string(after[i]) + "; ";
    }
    return line;
}

} // namespace

TEST_GROUP(PromptMix)
{
    core::time_point now = core::time_point{} + core::milliseconds{100'000};
    prompt_mix mix;

    void record(const std::string& kind, double tokens, int times)
    {
        for (int i = 0; i < times; ++i) {
            mix.record(kind, tokens, now);
        }
    }
};

TEST(PromptMix, PutsShortPromptsOfASmallShareFirst)
{
    record("notes", 800, 60);
    record("reviews", 9000, 40);
    CHECK_TRUE(mix.comes_first("notes"));
    CHECK_FALSE(mix.comes_first("reviews"));
    CHECK_FALSE(mix.comes_first("unknown"));
}

TEST(PromptMix, PutsNeitherTheBulkNorLongPromptsFirst)
{
    record("digests", 600, 900);
    record("outlooks", 9000, 25);
    record("briefs", 500, 50);
    CHECK_TRUE(mix.comes_first("briefs"));
    CHECK_FALSE(mix.comes_first("digests"));
    CHECK_FALSE(mix.comes_first("outlooks"));
}

TEST(PromptMix, WaitsForSomeRequestsAndForgetsOldOnes)
{
    record("notes", 800, 6);
    record("reviews", 9000, 4);
    CHECK_FALSE(mix.comes_first("notes"));
    record("notes", 800, 60);
    record("reviews", 9000, 40);
    CHECK_TRUE(mix.comes_first("notes"));
    now += core::milliseconds{300'000};
    record("notes", 800, 400);
    record("reviews", 9000, 1);
    CHECK_FALSE(mix.comes_first("notes"));
}

TEST(PromptMix, ServesMoreShortPromptsInTimeAtABusyEngineAndHardlyFewerLongOnes)
{
    const std::vector<kind_of_request> kinds{{"notes", 6, 800, 800}, {"reviews", 2.9, 9000, 1000}};
    const auto before = engine_model{kinds}.play(false);
    const auto after = engine_model{kinds}.play(true);
    CHECK_TRUE_TEXT(after[0] >= 0.9 && after[0] > before[0], text(before, after).c_str());
    CHECK_TRUE_TEXT(after[1] >= before[1] - 0.05, text(before, after).c_str());
}

TEST(PromptMix, DoesNotStarveRareLongPromptsBesideManyShortOnes)
{
    const std::vector<kind_of_request> kinds{
        {"digests", 38, 650, 800}, {"briefs", 2, 650, 1000}, {"outlooks", 1.2, 9000, 1000}};
    const auto before = engine_model{kinds}.play(false);
    const auto after = engine_model{kinds}.play(true);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        CHECK_TRUE_TEXT(after[i] >= before[i] - 0.05, text(before, after).c_str());
    }
}
