#include "eelgrassledge/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstring>

namespace eelgrassledge {

namespace {

auto normalized_host(std::string_view host) -> std::string {
    std::string name{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

/// Tolerance for floating-point errors: the share times the number of shards may exceed a whole number by
/// this much.
constexpr double ROUNDING = 1e-9;

auto sort_unique(std::vector<std::uint32_t>& values) -> void {
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

/// Position of a value in a sorted list.
auto position_in(const std::vector<std::uint32_t>& values, std::uint32_t value) -> std::size_t {
    return static_cast<std::size_t>(std::lower_bound(values.begin(), values.end(), value) - values.begin());
}

}  // namespace

auto route_table::digest_hash::operator()(const key_digest& key) const -> std::size_t {
    std::size_t hash = 0;
    std::memcpy(&hash, key.value().data(), sizeof hash);
    return hash;
}

auto gather_rule::required_parts() const -> std::size_t {
    auto exact = min_shard_ratio * static_cast<double>(shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact - ROUNDING)));
}

route_table::route_table(route_table_content content) : content_(std::move(content)) {
    for (std::size_t i = 0; i < content_.routes.size(); ++i) {
        const auto& r = content_.routes[i];
        by_host_and_prefix_.emplace(normalized_host(r.host) + ' ' + r.path_prefix, i);
        if (r.gather && !r.gather->shards.empty()) {
            ranks_[r.gather->shards.front()].push_back(r.rank);
        }
    }
    for (auto& [shard, ranks] : ranks_) {
        sort_unique(ranks);
    }
    index_teams();
    for (std::size_t i = 0; i < content_.services.size(); ++i) {
        by_service_.emplace(content_.services[i].name, i);
    }
}

auto route_table::find(std::string_view host, std::string_view path) const -> const route* {
    path = path.substr(0, path.find('?'));
    auto name = normalized_host(host) + ' ';
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        auto found = by_host_and_prefix_.find(name + std::string{path.substr(0, slash + 1)});
        if (found != by_host_and_prefix_.end()) {
            return &content_.routes[found->second];
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

auto route_table::index_teams() -> void {
    if (!content_.teams) {
        team_priorities_ = {0};
        return;
    }
    const auto& teams = *content_.teams;
    auto is_public = [](const route& r) { return r.is_public; };
    if (teams.empty() || std::any_of(content_.routes.begin(), content_.routes.end(), is_public)) {
        // Requests on public routes may have no team; they count as priority zero.
        team_priorities_.push_back(0);
    }
    for (std::size_t i = 0; i < teams.size(); ++i) {
        by_team_.emplace(teams[i].name, i);
        for (const auto& key : teams[i].keys) {
            by_key_.emplace(key, i);
        }
        team_priorities_.push_back(teams[i].priority);
        has_quotas_ = has_quotas_ || teams[i].has_quota();
    }
    sort_unique(team_priorities_);
}

auto route_table::team_of(const key_digest& key) const -> const team* {
    auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &(*content_.teams)[found->second];
}

auto route_table::team_named(const team_id& name) const -> const team* {
    auto found = by_team_.find(name);
    return found == by_team_.end() ? nullptr : &(*content_.teams)[found->second];
}

auto route_table::urgency(const route& r, const team* sender) const -> double {
    if (!r.gather || r.gather->shards.empty()) {
        return 0;
    }
    const auto& ranks = ranks_.at(r.gather->shards.front());
    auto last = team_priorities_.size() * ranks.size() - 1;
    if (last == 0) {
        return 0;
    }
    auto priority = sender == nullptr ? 0 : sender->priority;
    auto place = position_in(team_priorities_, priority) * ranks.size() + position_in(ranks, r.rank);
    return 1 - static_cast<double>(place) / static_cast<double>(last);
}

auto route_table::service(const service_id& name) const -> const service_rule* {
    auto found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : &content_.services[found->second];
}

}  // namespace eelgrassledge
