#include "eelgrassledge/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>

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

}  // namespace

auto gather_rule::required_parts() const -> std::size_t {
    auto exact = min_shard_ratio * static_cast<double>(shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact - ROUNDING)));
}

route_table::route_table(route_table_content content) : content_(std::move(content)) {
    for (std::size_t i = 0; i < content_.routes.size(); ++i) {
        const auto& r = content_.routes[i];
        by_host_and_prefix_.emplace(normalized_host(r.host) + ' ' + r.path_prefix, i);
        if (r.gather && !r.gather->shards.empty()) {
            auto& rank = least_urgent_[r.gather->shards.front()];
            rank = std::max(rank, r.rank);
        }
    }
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

auto route_table::is_urgent(const route& r) const -> bool {
    if (!r.gather || r.gather->shards.empty()) {
        return false;
    }
    auto found = least_urgent_.find(r.gather->shards.front());
    return found != least_urgent_.end() && r.rank < found->second;
}

auto route_table::service(const service_id& name) const -> const service_rule* {
    auto found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : &content_.services[found->second];
}

}  // namespace eelgrassledge
