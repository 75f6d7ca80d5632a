#pragma once

#include "base/random.h"

#include <string>
#include <vector>

namespace lacewing::fuzz {

/// Damages inputs of a corpus at random. The same seed and corpus give the same inputs.
class InputMutator {
public:
    /// @param corpus at least one input; must outlive the mutator.
    InputMutator(const std::vector<std::string>& corpus, uint64_t seed)
        : m_corpus(corpus)
        , m_random(seed)
    {
    }

    /// @return an input of the corpus with one to six changes.
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
