#pragma once

#include "transport/http_server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing {

/// Looks for texts that no upstream may ever see, such as callers' keys.
class ForbiddenText {
public:
    /// @param texts empty ones are ignored.
    explicit ForbiddenText(const std::vector<std::string>& texts);

    /// @return how many pairs of a text and a part (each header, the target, the body) contain the text. The
    /// target is searched as it came and with its percent escapes decoded.
    int64_t countIn(const HttpExchange& exchange) const;

private:
    int64_t countIn(const std::string& part) const;

    std::vector<std::string> m_texts;
};

} // namespace lacewing
