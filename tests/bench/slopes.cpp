// Prints what one daemon's state costs at the sizes of today and of later: time, memory and bytes on the wire.

#include <routing/routing.h>
#include <settings/settings.h>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <iostream>

using namespace CassiaRelay;

namespace {

constexpr int REPEATS = 5;

struct Cost {
    std::chrono::duration<double, std::milli> time {};
    std::size_t heapBytes = 0;
};

std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Median time of building, and the heap that the result keeps.
template<typename Build>
Cost measure(Build build)
{
    std::array<std::chrono::duration<double, std::milli>, REPEATS> times {};
    Cost cost;
    for (auto &time : times) {
        const std::size_t before = heapInUse();
        const auto start = std::chrono::steady_clock::now();
        [[maybe_unused]] const auto result = build();
        time = std::chrono::steady_clock::now() - start;
        cost.heapBytes = heapInUse() - before;
    }
    std::sort(times.begin(), times.end());
    cost.time = times[REPEATS / 2];
    return cost;
}

std::string fleetDocument(int organisations)
{
    nlohmann::json document = nlohmann::json::parse(R"({
        "defaults": {}, "organisations": [],
        "pipelines": [{"name": "draft", "priorityClass": 1, "stages": [{"name": "one", "pool": "models", "path": "/x", "kind": "call"}]}]
    })");
    for (int organisation = 0; organisation < organisations; ++organisation) {
        const std::string name = "organisation-" + std::to_string(organisation);
        document["organisations"].push_back({ { "name", name }, { "tokenSha256", { sha256Hex(name) } } });
    }
    return document.dump();
}

Schema::TargetList targetList(int targets)
{
    Schema::TargetList list;
    for (int target = 0; target < targets; ++target) {
        Schema::TargetEntry entry;
        entry.target = "target-" + std::to_string(target);
        entry.pool = "pool-" + std::to_string(target % 7);
        entry.address = "10.1.0.1";
        entry.port = 8000;
        entry.failureDomain = "domain-" + std::to_string(target % 3);
        list.targets.push_back(std::move(entry));
    }
    return list;
}

void print(const std::string &what, int size, std::size_t documentBytes, const Cost &cost)
{
    std::cout << what << "\t" << size << "\t" << documentBytes << "\t" << cost.time.count() << "\t" << cost.heapBytes << "\n";
}

void measureFleetSettings(int organisations)
{
    const std::string document = fleetDocument(organisations);
    print("FleetSettings::parse, organisations", organisations, document.size(), measure([&] {
              return Settings::FleetSettings::parse(document, 1);
          }));
}

void measureTargetTable(int targets)
{
    const auto settings = Settings::FleetSettings::parse(fleetDocument(5), 1);
    const Schema::TargetList list = targetList(targets);
    const std::string document = nlohmann::json(list).dump();
    print("TargetTable, targets", targets, document.size(), measure([&] {
              return std::make_shared<const Routing::TargetTable>(list, *settings);
          }));
    const Schema::Document published { std::string(Schema::TARGET_LIST_KEY), 1, document };
    print("checkPublished target list, targets", targets, document.size(), measure([&] {
              Settings::checkPublished(published);
              return 0;
          }));
}

void measureHeartbeat()
{
    Schema::Heartbeat heartbeat {};
    heartbeat.incarnation = 1733259600000000;
    heartbeat.config = 1000000;
    heartbeat.vms = 1000000;
    heartbeat.targets = 1000000;
    std::cout << "heartbeat, bytes of CBOR\t" << Schema::encode(heartbeat).size() << "\n";
}

} // namespace

int main()
{
    std::cout << "what\tsize\tdocument bytes\tmedian ms\theap bytes kept\n";
    for (const int organisations : { 5, 500, 5000, 25000 }) {
        measureFleetSettings(organisations);
    }
    for (const int targets : { 36, 1600, 3300 }) {
        measureTargetTable(targets);
    }
    measureHeartbeat();
}
