#include "standin/effect_ledger.hpp"

#include <stdexcept>

namespace plantaintally::standin
{

effect_ledger::effect_ledger(std::string const& log_path)
{
    if (log_path.empty())
    {
        return;
    }
    this->log.open(log_path, std::ios::app);
    if (!this->log)
    {
        throw std::runtime_error("can't open the effects log " + log_path);
    }
}

void effect_ledger::record(std::string_view key, std::string_view request_id)
{
    auto const name = std::string(key.empty() ? request_id : key);
    ++this->effects_by_key[name];
    ++this->effect_count;
    if (this->log.is_open())
    {
        this->log << name << ' ' << request_id << std::endl;
    }
}

std::size_t effect_ledger::count(std::string const& key) const
{
    auto const found = this->effects_by_key.find(key);
    return found == this->effects_by_key.end() ? 0 : found->second;
}

} // namespace plantaintally::standin
