// Measures objects, bytes and time of a configuration at design size.

#include "base/digest.h"
#include "protocol/configuration_codec.h"
#include "protocol/configuration_json.h"
#include "state/configuration_check.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

constexpr int adapterCount = 43'000;
constexpr int workspaceCount = 1'000;
constexpr int keyCount = 4'300;

Configuration designSize()
{
    Configuration configuration;
    for (int i = 0; i < workspaceCount; ++i) {
        const WorkspaceId id("workspace-" + std::to_string(i));
        configuration.workspaces[id] = { id, Tokens(1000), Tokens(5000) };
    }
    for (int i = 0; i < keyCount; ++i)
        configuration.keys.push_back({ "key-" + std::to_string(i),
            WorkspaceId("workspace-" + std::to_string(i % workspaceCount)), sha256Hex(std::to_string(i)) });
    for (int i = 0; i < adapterCount; ++i) {
        const AdapterId id("adapter-" + std::to_string(i));
        configuration.adapters[id] = { id, WorkspaceId("workspace-" + std::to_string(i % workspaceCount)),
            ModelId("base-model"), { AdapterVersion("v1"), AdapterVersion("v2") }, AdapterVersion("v2") };
    }
    return configuration;
}

double milliseconds(const std::function<void()>& work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

size_t movedBytes(const EncodedConfiguration& before, const EncodedConfiguration& after)
{
    size_t bytes = 0;
    for (const auto& [hash, content] : after.objects)
        bytes += before.objects.count(hash) == 0 ? content.size() : 0;
    return bytes;
}

void run()
{
    const ConfigurationCodec codec;
    Configuration configuration = designSize();
    EncodedConfiguration before;
    const double encode = milliseconds([&] { before = codec.encode(configuration); });
    std::string all;
    for (const auto& [hash, content] : before.objects)
        all += content;
    const double digest = milliseconds([&] { sha256Hex(all); });
    const double decode = milliseconds([&] { codec.decode(before.root, before.objects); });
    const double check = milliseconds([&] { checkConfiguration(configuration); });
    std::string json;
    const double toJson = milliseconds([&] { json = ConfigurationJson::encode(configuration).dump(); });
    const double fromJson = milliseconds([&] { ConfigurationJson().decode(nlohmann::json::parse(json)); });

    configuration.keys[7].hash = sha256Hex("other");
    const EncodedConfiguration key = codec.encode(configuration);
    configuration.adapters.begin()->second.versions.emplace_back("v3");
    const EncodedConfiguration adapter = codec.encode(configuration);

    EncodedConfiguration both = adapter;
    both.objects.insert(before.objects.begin(), before.objects.end());
    std::optional<Configuration> target = codec.decode(before.root, before.objects);
    const double update
        = milliseconds([&] { codec.update(*target, before.root, adapter.root, both.objects); });

    std::cout << "objects=" << before.objects.size() << " bytes=" << all.size()
              << " json_bytes=" << json.size() << "\nmoved_bytes: key=" << movedBytes(before, key)
              << " adapter=" << movedBytes(key, adapter) << "\nsha256_ms=" << digest
              << " relative to it: encode=" << encode / digest << " decode=" << decode / digest
              << " update=" << update / digest << " check=" << check / digest
              << " json_encode=" << toJson / digest << " json_decode=" << fromJson / digest << '\n';
}

} // namespace

} // namespace lacewing

int main()
{
    lacewing::run();
}
