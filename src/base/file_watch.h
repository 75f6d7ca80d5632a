#pragma once

#include "base/periodic_timer.h"

#include <functional>
#include <string>

namespace lacewing {

/// Tells when the content of a small file has changed. Compares contents, since times of files can't be
/// relied on where the clock jumps.
class FileWatch {
public:
    /// @param scheduler must outlive the watch.
    /// @param onChange called with a file that could be read and differs from what was read last.
    FileWatch(Scheduler& scheduler, std::string path, std::function<void()> onChange);

    void start() { m_timer.start(); }
    /// Takes the present content as known, because it was just read for another reason.
    void acknowledge();

private:
    void checkForChange();

    std::string m_path;
    std::function<void()> m_onChange;
    std::string m_content;
    bool m_isReadable = true;
    PeriodicTimer m_timer;
};

} // namespace lacewing
