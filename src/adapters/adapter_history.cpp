#include "siskindrift/adapters/adapter_history.h"

#include <algorithm>
#include <iterator>

namespace siskindrift::adapters {
namespace {

// More adapters than the memory of an engine's machine holds beside its base model.
constexpr std::size_t max_entries = 512;

} // namespace

void adapter_history::record(adapter_key key)
{
    std::erase(m_keys, key);
    m_keys.push_back(key);
    if (m_keys.size() > max_entries) {
        m_keys.erase(m_keys.begin());
    }
}

std::optional<std::size_t> adapter_history::age(adapter_key key) const
{
    const auto found = std::find(m_keys.rbegin(), m_keys.rend(), key);
    return found == m_keys.rend()
               ? std::nullopt
               : std::optional{static_cast<std::size_t>(std::distance(m_keys.rbegin(), found))};
}

bool cache_size_estimate::is_cached(std::optional<std::size_t> age) const
{
    return age && static_cast<double>(*age) < m_size;
}

bool cache_size_estimate::may_be_cached(std::optional<std::size_t> age) const
{
    return age && static_cast<double>(*age) < m_size * m_options.uncertain_range;
}

void cache_size_estimate::on_load(std::size_t age, bool cached)
{
    const auto size = static_cast<double>(age);
    if (cached) {
        m_size = std::max(m_size, size + 1);
    }
    else if (size < m_size) {
        m_size = std::max(m_options.min, m_size + (size - m_size) * m_options.slow_load_weight);
    }
}

} // namespace siskindrift::adapters
