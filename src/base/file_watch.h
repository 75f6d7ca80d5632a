#pragma once

#include "base/periodic_timer.h"

#include <functional>
#include <string>

namespace lacewing {

/// Polls a small file once a second and reports when its content changes. Compares contents, because
/// modification times are unreliable if the system clock is adjusted.
class FileWatch {
public:
    /// @param scheduler must outlive the watch.
    /// @param onChange called if the file is readable and differs from the content read last.
    FileWatch(Scheduler& scheduler, std::string path, std::function<void()> onChange);

    void start() { m_timer.start(); }
    /// Records the current content as known without a call of onChange, after the caller has read the file.
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
