#include "fuzz/fuzz_runner.h"

#include "fuzz/input_mutator.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace lacewing::fuzz {

namespace {

/// The input under test, and the file that it is written to if it fails. Global, since the signal handler
/// reads them.
std::string currentInput;
std::string failureFilePath;

void writeCurrentInput()
{
    const int file = ::open(failureFilePath.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
    if (file < 0)
        return;
    const ssize_t written = ::write(file, currentInput.data(), currentInput.size());
    static_cast<void>(written);
    ::close(file);
}

extern "C" void handleCrash(int signal)
{
    writeCurrentInput();
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

} // namespace

std::vector<std::string> FuzzRunner::readCorpus(const FuzzTarget& target) const
{
    std::vector<std::filesystem::path> paths;
    std::error_code error;
    for (const auto& entry :
        std::filesystem::directory_iterator(m_options.corpus + '/' + target.name(), error))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> inputs;
    for (const auto& path : paths) {
        std::ifstream file(path, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return inputs;
}

bool FuzzRunner::runInput(FuzzTarget& target, const std::string& input, const std::string& label)
{
    currentInput = input;
    const auto problem = target.run(currentInput);
    if (!problem)
        return true;
    writeCurrentInput();
    std::cout << target.name() << ": " << label << " failed: " << *problem << "; input in " << failureFilePath
              << '\n';
    return false;
}

bool FuzzRunner::runTarget(FuzzTarget& target)
{
    failureFilePath = m_options.failures + "/fuzz-" + target.name() + ".bin";
    for (const int signal : std::array { SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL })
        std::signal(signal, handleCrash);
    const std::vector<std::string> corpus = readCorpus(target);
    if (corpus.empty()) {
        std::cout << target.name() << ": no corpus inputs in " << m_options.corpus << '\n';
        return false;
    }
    for (size_t index = 0; index < corpus.size(); ++index) {
        if (!runInput(target, corpus[index], "input " + std::to_string(index)))
            return false;
    }
    InputMutator mutator(corpus, m_options.seed);
    for (int run = 0; run < m_options.runs; ++run) {
        if (!runInput(target, mutator.next(), "run " + std::to_string(run)))
            return false;
    }
    std::cout << target.name() << ": " << corpus.size() << " inputs and " << m_options.runs
              << " mutated inputs passed\n";
    return true;
}

} // namespace lacewing::fuzz
