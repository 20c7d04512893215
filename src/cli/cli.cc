#include "cli/cli.h"

#include <algorithm>
#include <cstddef>
#include <sstream>

#include "cli/report.h"

namespace chivewing {
namespace {

constexpr std::size_t kHelpColumn = 28;

std::string Padded(std::string text, std::size_t width) {
  if (text.size() < width) text.append(width - text.size(), ' ');
  return text + " ";
}

// Returns the words of a verb's name: one or two.
std::vector<std::string> NameWords(const Verb& verb) {
  std::istringstream stream{std::string(verb.name)};
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

bool StartsWith(const std::vector<std::string>& words,
                const std::vector<std::string>& start) {
  return words.size() >= start.size() &&
         std::equal(start.begin(), start.end(), words.begin());
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  for (const Verb& verb : Verbs()) {
    if (StartsWith(words, NameWords(verb))) return &verb;
  }
  return nullptr;
}

bool AsksForHelp(const std::vector<std::string>& words) {
  return std::any_of(words.begin(), words.end(), [](const std::string& word) {
    return word == "--help" || word == "-h" || word == "help";
  });
}

// Returns why no verb was found. A word such as "catalogue" names only a group
// of verbs.
std::string WhyNoVerb(const std::vector<std::string>& words) {
  if (words.empty()) return "no verb given";
  std::string group;
  for (const Verb& verb : Verbs()) {
    const std::vector<std::string> name = NameWords(verb);
    if (name.size() < 2 || name[0] != words[0]) continue;
    group += (group.empty() ? "" : ", ") + name[1];
  }
  if (group.empty()) return "unknown verb " + words[0];
  return words[0] + " must be followed by one of " + group;
}

std::vector<OptionSpec> OptionsOf(const Verb& verb) {
  std::vector<OptionSpec> options = verb.options;
  options.push_back({"help", "", "shows this text"});
  return options;
}

ExitStatus RunVerb(const Verb& verb, const std::vector<std::string>& words,
                   const CliEnvironment& hooks) {
  const Result<Arguments> arguments = ParseArguments(OptionsOf(verb), words);
  if (!arguments) return ReportError(arguments.error(), hooks);
  if (arguments.value().Has("help")) {
    *hooks.out << VerbHelp(verb);
    return ExitStatus::kOk;
  }
  const std::size_t count = arguments.value().operands().size();
  if (count < verb.min_operands || count > verb.max_operands) {
    const std::string expected =
        verb.operands.empty() ? "no operands" : std::string(verb.operands);
    return ReportError(
        {ResultCode::kBadUsage, std::string(verb.name) + " takes " + expected},
        hooks);
  }
  return verb.run(arguments.value(), hooks);
}

std::vector<Verb> MakeVerbs() {
  std::vector<Verb> verbs;
  for (const auto& group :
       {ProcessVerbs(), CatalogueVerbs(), JobVerbs(), RequestVerbs()}) {
    verbs.insert(verbs.end(), group.begin(), group.end());
  }
  return verbs;
}

}  // namespace

const std::vector<Verb>& Verbs() {
  static const std::vector<Verb> verbs = MakeVerbs();
  return verbs;
}

std::string VerbHelp(const Verb& verb) {
  std::string text = "Usage: chivewing " + std::string(verb.name) +
                     " [options] " + std::string(verb.operands) + "\n\n" +
                     std::string(verb.summary) + "\n\nOptions:\n";
  for (const OptionSpec& option : OptionsOf(verb)) {
    std::string word = "  --" + std::string(option.name);
    if (!option.value_name.empty())
      word += " " + std::string(option.value_name);
    text += Padded(word, kHelpColumn) + std::string(option.meaning) + "\n";
  }
  return text + "\nExamples:\n" + std::string(verb.examples);
}

std::string GeneralHelp() {
  std::string text = "Usage: chivewing VERB [options] [operands]\n\nVerbs:\n";
  for (const Verb& verb : Verbs()) {
    text += Padded("  " + std::string(verb.name), kHelpColumn) +
            std::string(verb.summary) + "\n";
  }
  return text + "\n`chivewing VERB --help` shows a verb's options.\n";
}

int RunCli(const std::vector<std::string>& words, const CliEnvironment& hooks) {
  const Verb* verb = FindVerb(words);
  if (verb == nullptr && AsksForHelp(words)) {
    *hooks.out << GeneralHelp();
    return static_cast<int>(ExitStatus::kOk);
  }
  if (verb == nullptr) {
    const Error error{ResultCode::kBadUsage,
                      WhyNoVerb(words) + "; chivewing --help lists all verbs"};
    return static_cast<int>(ReportError(error, hooks));
  }
  const auto used = static_cast<std::ptrdiff_t>(NameWords(*verb).size());
  return static_cast<int>(
      RunVerb(*verb, {words.begin() + used, words.end()}, hooks));
}

}  // namespace chivewing
