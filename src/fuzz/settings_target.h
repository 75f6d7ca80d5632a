#pragma once

#include "fuzz/fuzz_target.h"
#include "gateway/gateway_settings.h"

#include <fstream>

namespace lacewing::fuzz {

/// Feeds settings files to the settings reader. A rejected file must come with a reason.
class SettingsTarget : public FuzzTarget {
public:
    /// @param path temporary file that each input is written to.
    explicit SettingsTarget(std::string path)
        : m_path(std::move(path))
    {
    }

    std::string name() const override { return "settings"; }
    std::optional<std::string> run(std::string_view input) override
    {
        std::ofstream(m_path, std::ios::binary) << input;
        gateway::GatewaySettingsReader reader;
        const auto settings = reader.read(m_path);
        if (!settings && reader.lastError().empty())
            return "settings were rejected without a reason";
        if (settings && settings->leaseTime <= Duration::zero())
            return "settings with a lease time that is not positive were accepted";
        return std::nullopt;
    }

private:
    std::string m_path;
};

} // namespace lacewing::fuzz
