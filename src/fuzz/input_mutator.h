#pragma once

#include "base/random.h"

#include <string>
#include <vector>

namespace lacewing::fuzz {

/// Applies random mutations to corpus inputs. The same seed and corpus yield the same sequence of inputs.
class InputMutator {
public:
    /// @param corpus at least one input; must outlive the mutator.
    InputMutator(const std::vector<std::string>& corpus, uint64_t seed)
        : m_corpus(corpus)
        , m_random(seed)
    {
    }

    /// @return a corpus input with one to six mutations.
    std::string next();

private:
    const std::string& randomInput() { return m_corpus[m_random.below(m_corpus.size())]; }
    size_t randomPosition(const std::string& input) { return m_random.below(input.size() + 1); }
    void mutate(std::string& input);
    void insertFromCorpus(std::string& input);
    void replaceNumber(std::string& input);

    const std::vector<std::string>& m_corpus;
    Random m_random;
};

} // namespace lacewing::fuzz
