#include "RequestStory.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace toucanstand {

namespace {

using Teller = std::string (*)(const LogLine&);

std::string TellRejected(const LogLine& aLine)
{
  return "rejected with status " + aLine.Text("status") +
         ", not run: " + aLine.Text("reason");
}

std::string TellRefused(const LogLine& aLine)
{
  return "not placed (" + aLine.Text("reason") + "): the soonest of " +
         aLine.Text("groups") + " groups was predicted to bring the first event in " +
         aLine.Text("soonest_ms") + " ms, allowed were " + aLine.Text("limit_ms") +
         " ms; prompt of " + aLine.Text("prompt_tokens") + " tokens, told to return in " +
         aLine.Text("retry_after_ms") + " ms or a little more";
}

std::string TellAttempt(const LogLine& aLine)
{
  std::string text = "attempt on server " + aLine.Text("server");
  if (aLine.fields.contains("group")) {
    text += " (group " + aLine.Text("group") + ", " + aLine.Text("reading") +
            " requests reading and " + aLine.Text("writing") +
            " writing, first event predicted in " + aLine.Text("predicted_ms") + " ms)";
  }
  text += " ended: " + aLine.Text("end");
  if (aLine.fields.contains("events")) {
    text += ", events passed on so far: " + aLine.Text("events");
  }
  if (aLine.fields.contains("took_ms")) {
    text += ", after " + aLine.Text("took_ms") + " ms";
  }
  return text;
}

std::string TellEnd(const LogLine& aLine)
{
  std::string text = "ended " + aLine.Text("outcome") + " with status " +
                     aLine.Text("status") + " after " + aLine.Text("took_ms") +
                     " ms and " + aLine.Text("attempts") + " attempts";
  if (aLine.Whole("first_ms") >= 0) {
    text += ", first byte after " + aLine.Text("first_ms") + " ms";
  }
  if (aLine.Text("reason") != "") {
    text += ": " + aLine.Text("reason");
  }
  return text + " (route " + aLine.Text("route") + ", configuration " +
         aLine.Text("configuration") + ")";
}

std::string TellOrder(const LogLine& aLine)
{
  return "the leader ordered engine " + aLine.Text("server") + " to " +
         aLine.Text("kind") + " (group " + aLine.Text("group") +
         "): " + aLine.Text("reply");
}

std::string TellExamined(const LogLine& aLine)
{
  const bool answers = aLine.fields.value("answers", nlohmann::json(false)) == true;
  return "the leader asked engine " + aLine.Text("server") +
         " whether it lives: " + (answers ? "it answers" : "no answer");
}

std::string TellPlan(const LogLine& aLine)
{
  return "groups at that time: " + aLine.Text("plan");
}

std::string TellServer(const LogLine& aLine)
{
  static const std::map<std::string, std::string> kWhat = {
    { "server_gone", "its registration ended" },
    { "server_leaving", "it announced that it leaves" },
    { "server_registered", "it registered" },
    { "server_crashed", "its connection broke and it does not answer" },
  };
  const auto found = kWhat.find(aLine.event);
  return "server " + aLine.Text("server") + ": " +
         (found == kWhat.end() ? Printable(aLine.event) : found->second);
}

std::string TellStore(const LogLine& aLine)
{
  return aLine.event == "store_lost"
           ? "this VM can't reach the store: " + aLine.Text("reason")
           : "this VM reaches the store again after " + aLine.Text("outage_ms") + " ms";
}

const std::map<std::string, Teller, std::less<>>& Tellers()
{
  static const std::map<std::string, Teller, std::less<>> kTellers = {
    { "request_rejected", &TellRejected }, { "placement_refused", &TellRefused },
    { "attempt_end", &TellAttempt },       { "request_end", &TellEnd },
    { "engine_order", &TellOrder },        { "member_examined", &TellExamined },
    { "group_plan", &TellPlan },           { "server_gone", &TellServer },
    { "server_leaving", &TellServer },     { "server_registered", &TellServer },
    { "server_crashed", &TellServer },     { "store_lost", &TellStore },
    { "store_regained", &TellStore },
  };
  return kTellers;
}

} // namespace

std::string Sentence(const LogLine& aLine)
{
  const auto teller = Tellers().find(aLine.event);
  return teller == Tellers().end() ? Printable(aLine.fields.dump())
                                   : teller->second(aLine);
}

RequestStory::RequestStory(std::string aRequest)
  : request(std::move(aRequest))
{
}

void RequestStory::Add(std::string_view aLine)
{
  auto line = ReadLogLine(aLine);
  if (!line) {
    this->damaged += line.LastReason() == LogLineFailure::Damaged ? 1 : 0;
    return;
  }
  this->leftOut += line->Whole("left_out");
  const auto named = line->fields.find("request");
  if (named == line->fields.end()) {
    if (this->context.size() >= kMostContext) {
      ++this->dropped;
    } else if (Tellers().contains(line->event)) {
      this->context.push_back(std::move(*line));
    }
    return;
  }
  // Compared whole and as the process wrote it: an id that holds another one, or that
  // looks like a log line, is a different id.
  if (named->is_string() && named->get_ref<const std::string&>() == this->request) {
    this->Remember(*line);
    this->own.push_back(std::move(*line));
  }
}

void RequestStory::Remember(const LogLine& aLine)
{
  this->firstMs =
    this->own.empty() ? aLine.unixMs : std::min(this->firstMs, aLine.unixMs);
  this->lastMs = std::max(this->lastMs, aLine.unixMs);
  this->vms.insert(aLine.vm);
  // Lines are written when something has ended.
  this->firstMs = std::min(this->firstMs, aLine.unixMs - aLine.Whole("took_ms"));
  if (aLine.fields.contains("group")) {
    this->groups.insert(aLine.Text("group"));
  }
  if (aLine.fields.contains("server")) {
    this->servers.insert(aLine.Text("server"));
  }
}

bool RequestStory::IsRelated(const LogLine& aLine) const
{
  const bool inTime =
    aLine.unixMs >= this->firstMs - kAroundMs && aLine.unixMs <= this->lastMs + kAroundMs;
  if (!inTime) {
    return false;
  }
  // Every VM tells of the store and of registrations; those that served the request
  // count.
  const bool everyVmTells =
    aLine.event.starts_with("store_") || aLine.event.starts_with("server_");
  if (everyVmTells && !this->vms.contains(aLine.vm)) {
    return false;
  }
  if (aLine.event.starts_with("store_")) {
    return true;
  }
  return (aLine.fields.contains("group") && this->groups.contains(aLine.Text("group"))) ||
         (aLine.fields.contains("server") &&
          this->servers.contains(aLine.Text("server")));
}

const LogLine* RequestStory::LastPlan() const
{
  const LogLine* last = nullptr;
  for (const auto& line : this->context) {
    const bool earlier = line.event == "group_plan" && line.unixMs <= this->lastMs;
    if (earlier && (last == nullptr || line.unixMs > last->unixMs)) {
      last = &line;
    }
  }
  return last;
}

std::vector<RequestStory::Entry> RequestStory::Entries() const
{
  std::vector<Entry> entries;
  const auto add = [&entries](const LogLine& aLine) {
    entries.push_back({ aLine, Sentence(aLine) });
  };
  std::ranges::for_each(this->own, add);
  if (!this->own.empty()) {
    for (const auto& line : this->context) {
      if (this->IsRelated(line)) {
        add(line);
      }
    }
    const auto* plan = this->Find("placement_refused") ? this->LastPlan() : nullptr;
    if (plan != nullptr) {
      add(*plan);
    }
  }
  std::ranges::stable_sort(
    entries, {}, [](const Entry& aEntry) { return aEntry.line.unixMs; });
  return entries;
}

const LogLine* RequestStory::Find(std::string_view aEvent) const
{
  const auto found = std::ranges::find(this->own, aEvent, &LogLine::event);
  return found == this->own.end() ? nullptr : &*found;
}

bool RequestStory::LostMemberOf(const std::string& aGroup) const
{
  std::set<std::string> members;
  for (const auto& line : this->context) {
    if (line.event == "engine_order" && line.Text("group") == aGroup) {
      members.insert(line.Text("server"));
    }
  }
  return std::ranges::any_of(this->context, [&](const LogLine& aLine) {
    const bool lost = aLine.event == "server_gone" ||
                      (aLine.event == "member_examined" &&
                       aLine.fields.value("answers", nlohmann::json(true)) == false);
    return lost && members.contains(aLine.Text("server")) &&
           aLine.unixMs >= this->firstMs - kAroundMs &&
           aLine.unixMs <= this->lastMs + kAroundMs;
  });
}

std::string RequestStory::Cause() const
{
  if (this->own.empty()) {
    return {};
  }
  if (const auto* rejected = this->Find("request_rejected")) {
    return "it was rejected before it was placed: " + rejected->Text("reason");
  }
  std::string failures;
  for (const auto& line : this->own) {
    if (line.event != "attempt_end" || line.Text("end") == "answered") {
      continue;
    }
    const auto where = line.fields.contains("group") ? "group " + line.Text("group")
                                                     : "server " + line.Text("server");
    failures += (failures.empty() ? "" : "; then ") + where + " failed it (" +
                line.Text("end") + ")";
    if (line.fields.contains("group") && this->LostMemberOf(line.Text("group"))) {
      failures += ", a member of that group was lost";
    }
  }
  if (!failures.empty()) {
    return failures;
  }
  if (this->Find("placement_refused") != nullptr) {
    return "the groups of its model could not serve it in the time wanted";
  }
  const auto* end = this->Find("request_end");
  return end != nullptr && end->Text("outcome") == "answered"
           ? "it was answered by its first attempt"
           : "the lines read do not tell; some may have been left out";
}

nlohmann::json RequestStory::Describe() const
{
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& entry : this->Entries()) {
    entries.push_back({ { "unix_ms", entry.line.unixMs },
                        { "vm", Printable(entry.line.vm) },
                        { "event", Printable(entry.line.event) },
                        { "text", entry.text },
                        { "fields", entry.line.fields } });
  }
  return {
    { "request", Printable(this->request) }, { "cause", this->Cause() },
    { "entries", std::move(entries) },       { "damaged_lines", this->damaged },
    { "lines_left_out", this->leftOut },     { "context_lines_dropped", this->dropped }
  };
}

} // namespace toucanstand
