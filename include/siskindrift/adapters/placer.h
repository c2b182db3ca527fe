// Decides which engine holds which adapter, and the orders that bring it about.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskindrift/adapters/engine_report.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::adapters {

/// A model and one of its adapters; the model itself has an empty adapter.
using adapter_name = std::pair<std::string, std::string>;

/// An order to one engine.
struct order {
    std::uint64_t id = 0;
    std::string upstream;
    std::string address;
    std::string model;
    std::string adapter;               ///< Empty for the whole model.
    std::uint64_t version = 0;         ///< 0 for the newest.
    std::uint64_t orders_accepted = 0; ///< The engine refuses the order when it took others since.
    bool unload = false;
    bool repeated = false; ///< Asks again for a load that the engine accepted; not counted twice.
};

/// What an engine said to an order.
enum class order_result : std::uint8_t {
    accepted, ///< It is being carried out.
    holds,    ///< What it asks for holds already.
    conflict, ///< Another order is under way, or others were accepted since.
    fenced,   ///< A later holder gave orders.
    refused,  ///< It can't be carried out, or the engine is another one.
    unknown,  ///< No answer: it may be carried out, also later.
};

/// Returns the name of @p result as metrics show it.
[[nodiscard]] std::string_view to_string(order_result result);

struct placer_options {
    core::duration report_every = core::milliseconds{2000}; // announcements tell the same for free
    core::duration report_lag = core::milliseconds{500};    // reports are some hundred ms old
    core::duration store_load = core::milliseconds{255};    // an adapter from the store, at first
    core::duration near_load = core::milliseconds{30};      // one that the engine held lately
    core::duration check_again = core::milliseconds{30};    // between two looks at a load, first
    core::duration check_most = core::milliseconds{480};    // and at most
    core::duration model_load_look = core::milliseconds{700}; // about the load of a whole model
    core::duration quiet_before_eviction = core::milliseconds{100}; // a use may not be told yet
    core::duration quiet_a_gateway = core::milliseconds{6};  // many gateways tell their uses rarely
    core::duration use_told = core::milliseconds{60};        // a gateway gathers its words
    core::duration place_patience = core::milliseconds{100}; // a free place is given sooner
    core::duration further_pause = core::milliseconds{1500}; // until a copy has drawn its share
    core::duration further_pause_idle =
        core::milliseconds{700}; // where a copy costs nobody a place
    double idle_places = 0.33;   // of all; then further copies cost nobody a place
    core::duration home_patience = core::milliseconds{150}; // less than a load from the store
    core::duration wish_life = core::milliseconds{3000};    // a gateway repeats its wishes
    double prompt_tokens_per_ms = 38;                       // what engines of this size read
    std::size_t store_loads_at_once = 8;                    // more would slow each other down
    double store_loads_an_engine = 0.45;                    // larger deployments have larger stores
    std::size_t loads_at_one_engine = 4;                    // engines take no more
    std::size_t remembered_copies = 40;                     // what engines keep at hand
};

/// How far the places and the store are taken.
struct placement_summary {
    std::size_t wanted = 0;      ///< Adapters that requests wait for and no engine is loading.
    std::size_t store_loads = 0; ///< On their way from the weight store.
    std::size_t engines = 0;     ///< That take orders.
    std::size_t places = 0;      ///< Of those engines.
    std::size_t in_use = 0;      ///< Places of adapters that requests run with.
    std::size_t loading = 0;     ///< Places of adapters on their way.
    std::size_t just_used = 0;   ///< Places of idle adapters that may not be pushed out yet.
};

/// Places adapters on engines. Pure: words and results go in, orders and views come out.
///
/// Answers the load of requests for many adapters of which each engine holds a few: loads of
/// one adapter coalesce, an adapter goes where it loads fastest and pushes out least, and one
/// that is in use is not pushed out.
class placer {
public:
    explicit placer(placer_options options = {})
        : m_options(options), m_store_load(options.store_load)
    {
    }

    /// Begins a leadership; nothing is ordered before @p from.
    void begin_leadership(core::time_point from);
    /// Ends a leadership; no order is planned any more.
    void end_leadership();
    [[nodiscard]] bool active() const { return m_active; }

    void set_deployment(const gateway::deployment& document);
    void set_version(const adapter_name& name, std::uint64_t version);

    /// Takes an announcement. An upstream that isn't ready gets no orders. What it holds is
    /// remembered also without leadership, for a successor places where copies are at hand.
    void on_announcement(const wire::fleet_upstream_t& word, bool usable);
    /// Takes the answer to a report that was asked for at @p asked, or its absence.
    void on_report(const std::string& upstream, const std::optional<engine_report>& report,
                   core::time_point asked);
    void on_gateway_report(const wire::gateway_report_t& report, core::time_point now);
    void remove_gateway(const std::string& vm);

    /// Returns the engines whose report is wanted now.
    std::vector<std::string> take_engines_to_poll(core::time_point now);
    /// Returns the orders to give now, at most one for each engine.
    std::vector<order> plan(core::time_point now);
    void on_order_result(std::uint64_t number, order_result result, core::time_point now);

    /// Returns the views of engines whose copies changed since the last call.
    std::vector<wire::engine_view_t> take_changed_views();
    /// Returns the views, without copies, of engines whose load changed since the last call.
    std::vector<wire::engine_view_t> take_load_views();
    [[nodiscard]] std::vector<wire::engine_view_t> all_views() const;
    [[nodiscard]] placement_summary summary(core::time_point now) const;
    /// Returns when `plan` or `take_engines_to_poll` next has something to do.
    [[nodiscard]] core::time_point next_due() const;

private:
    enum class copy_state : std::uint8_t { loaded, loading, unloading };
    struct copy {
        std::uint64_t version = 0;
        copy_state state = copy_state::loaded;
        bool from_store = false;
        core::time_point check_at{};
        core::duration check_pause{}; ///< Doubles while the engine is not done.
        core::time_point accepted{};  ///< When the engine took the order to load it.
        core::time_point used{};
        std::uint64_t awaited_tokens = 0; ///< Of prompts that waited for the load.
        core::time_point loaded{};
        bool further = false; ///< Another engine held the adapter when this was begun.
    };
    struct engine {
        std::string id;
        std::string address;
        std::string service;
        std::uint64_t born_ms = 0;
        bool usable = false;
        bool known = false; ///< Its count of orders and its copies are certain.
        std::uint64_t orders_accepted = 0;
        std::optional<order> open;   ///< Given, not answered yet.
        std::optional<order> unsure; ///< Not answered; may be carried out later.
        core::time_point last_order{};
        core::time_point report_due{};
        bool report_open = false;
        std::map<adapter_name, copy> copies;
        std::vector<adapter_name> remembered; ///< Held lately, newest last.
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint64_t pending_tokens = 0;            ///< Of all gateways.
        std::map<adapter_name, std::uint32_t> users; ///< Gateways that use each adapter.
        bool load_changed = false;
    };
    struct wish {
        std::uint32_t waiting = 0;
        core::duration time_left{};
        bool crowded = false;
        std::uint64_t prompt_tokens = 0;
        core::time_point since{}; ///< When it was first told.
        core::time_point told{};
    };
    struct gateway_word {
        std::map<adapter_name, wish> wishes;
        std::vector<std::pair<std::string, adapter_name>> uses; ///< Engine and adapter.
        std::map<std::string, std::uint64_t> pending; ///< Prompt tokens not read yet, by engine.
    };
    struct need {
        adapter_name name;
        std::uint32_t waiting = 0;
        core::duration time_left{};
        bool crowded = false;
        std::uint64_t prompt_tokens = 0;
        core::time_point since{};
    };

    [[nodiscard]] std::vector<need> needs(core::time_point now) const;
    [[nodiscard]] bool coming(const need& wanted) const;
    [[nodiscard]] std::optional<double> wait_at_copies(const need& wanted) const;
    [[nodiscard]] bool home_is_busy(const need& wanted, core::time_point now) const;
    void add_word(gateway_word& word, const wire::gateway_report_t& report);
    void take_back_word(gateway_word& word);
    [[nodiscard]] std::uint64_t newest(const adapter_name& name) const;
    [[nodiscard]] const gateway::engine_capacity* terms_of(const engine& at) const;
    [[nodiscard]] std::size_t places_taken(const engine& at) const;
    [[nodiscard]] std::size_t store_loads() const;
    [[nodiscard]] std::size_t most_store_loads() const;
    [[nodiscard]] core::duration quiet_before_eviction() const;
    [[nodiscard]] bool may_order(const engine& at) const;
    [[nodiscard]] std::uint64_t tokens_to_read(const engine& at, core::time_point now) const;
    [[nodiscard]] bool in_use(const engine& at, const adapter_name& name) const;
    [[nodiscard]] std::optional<adapter_name> victim(const engine& at, core::time_point now) const;
    [[nodiscard]] std::optional<double> cost(const engine& at, const adapter_name& name,
                                             core::time_point now) const;
    [[nodiscard]] bool remembers(const engine& at, const adapter_name& name) const;
    [[nodiscard]] bool many_places_idle() const;
    [[nodiscard]] bool copies_settled(const adapter_name& name, core::time_point now) const;
    [[nodiscard]] bool places_short(const std::vector<need>& list, core::time_point now) const;
    /// @param wait at the copy that is least busy, or none without a copy.
    void place(const need& wanted, std::optional<double> wait, core::time_point now,
               std::vector<order>& orders);
    void check_loads(core::time_point now, std::vector<order>& orders);
    void load_models(core::time_point now, std::vector<order>& orders);
    order& give(engine& at, const adapter_name& name, std::uint64_t version, bool unload);
    void took_effect(engine& at, const order& given, order_result result, core::time_point now);
    void learn_store_load(const copy& held, core::time_point now);
    void adopt(engine& at, const engine_report& report, core::time_point now);
    void remember(engine& at, const adapter_name& name);
    [[nodiscard]] wire::engine_view_t view(const engine& at) const;
    engine* engine_of(std::uint64_t order_number);

    placer_options m_options;
    bool m_active = false;
    bool m_fenced = false;
    core::time_point m_from{};
    gateway::deployment m_deployment;
    std::map<adapter_name, std::uint64_t> m_named;
    std::map<std::string, engine> m_engines;
    std::map<std::string, gateway_word> m_gateways;
    std::set<std::string> m_changed;
    core::duration m_store_load; ///< What a load from the store takes now.
    std::uint64_t m_next_order = 1;
    core::time_point m_next_model_load{};
    core::time_point m_next_check{};
};

} // namespace siskindrift::adapters
