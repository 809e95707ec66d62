#include "RequestTimeline.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace toucanstand {

namespace {

using LineFormatter = std::string (*)(const LogLine&);

std::string FormatRejection(const LogLine& aLine)
{
  return "rejected with status " + aLine.Text("status") +
         ", not run: " + aLine.Text("reason");
}

/// Servers that got no request although they do not leave, as `SERVER:REASON,...`.
std::string FormatSpared(const LogLine& aLine)
{
  return aLine.fields.contains("spared") && !aLine.Text("spared").empty()
           ? ", no requests then to " + aLine.Text("spared")
           : "";
}

/// Whether more urgent requests caused the refusal; logs of earlier builds name none.
bool IsYield(const LogLine& aLine)
{
  return aLine.fields.contains("yields_to") && aLine.IntegerOrZero("yields_to") >= 0;
}

std::string FormatYield(const LogLine& aLine)
{
  return IsYield(aLine) ? " (of priority " + aLine.Text("priority") +
                            ", yielding to priority " + aLine.Text("yields_to") + ")"
                        : "";
}

std::string FormatPlacementRefusal(const LogLine& aLine)
{
  return "not placed (" + aLine.Text("reason") + "): the earliest of " +
         aLine.Text("groups") + " groups was predicted to produce the first event in " +
         aLine.Text("soonest_ms") + " ms, the limit was " + aLine.Text("limit_ms") +
         " ms" + FormatYield(aLine) + "; prompt of " + aLine.Text("prompt_tokens") +
         " tokens, retry advised in " + aLine.Text("retry_after_ms") +
         " ms or slightly later" + FormatSpared(aLine);
}

std::string FormatRouteRefusal(const LogLine& aLine)
{
  return "no server of " + aLine.Text("pool") + " could be chosen (" +
         aLine.Text("reason") + "): " + aLine.Text("leaving") +
         " leave, retry advised in " + aLine.Text("retry_after_ms") +
         " ms or slightly later" + FormatSpared(aLine);
}

std::string FormatAttempt(const LogLine& aLine)
{
  std::string text = "attempt on server " + aLine.Text("server");
  if (aLine.fields.contains("group")) {
    text += " (group " + aLine.Text("group") + ", " + aLine.Text("reading") +
            " requests in prefill and " + aLine.Text("writing") +
            " in decode, first event predicted in " + aLine.Text("predicted_ms") + " ms)";
  }
  text += " ended: " + aLine.Text("end");
  if (aLine.fields.contains("events")) {
    text += ", events forwarded so far: " + aLine.Text("events");
  }
  if (aLine.fields.contains("took_ms")) {
    text += ", after " + aLine.Text("took_ms") + " ms";
  }
  return text + FormatSpared(aLine);
}

std::string FormatRequestEnd(const LogLine& aLine)
{
  std::string text = "ended " + aLine.Text("outcome") + " with status " +
                     aLine.Text("status") + " after " + aLine.Text("took_ms") +
                     " ms and " + aLine.Text("attempts") + " attempts";
  if (aLine.IntegerOrZero("first_ms") >= 0) {
    text += ", first byte after " + aLine.Text("first_ms") + " ms";
  }
  if (aLine.Text("reason") != "") {
    text += ": " + aLine.Text("reason");
  }
  return text + " (route " + aLine.Text("route") + ", configuration " +
         aLine.Text("configuration") + ")";
}

/// A time before the line, such as `last_event_ago_ms`; it may be unknown.
std::string FormatAgo(const LogLine& aLine, const char* aField)
{
  const bool isKnown = aLine.IntegerOrZero(aField) >= 0;
  return isKnown ? aLine.Text(aField) + " ms before" : "never";
}

std::string FormatCut(const LogLine& aLine)
{
  return "cut off by " + aLine.Text("ended_by") + ", connection " +
         aLine.Text("connection") + ": first byte " +
         FormatAgo(aLine, "first_byte_ago_ms") + ", read whole " +
         FormatAgo(aLine, "read_ago_ms") + ", sent to " + aLine.Text("destination") +
         " " + FormatAgo(aLine, "sent_ago_ms") + ", attempts " + aLine.Text("attempts") +
         ", rejected " + aLine.Text("rejected") + ", last of " + aLine.Text("events") +
         " events " + FormatAgo(aLine, "last_event_ago_ms") +
         ", configuration in force " + FormatAgo(aLine, "configuration_ago_ms") +
         ", signal to stop " + FormatAgo(aLine, "stop_ago_ms") +
         "; bytes of the server not read: " + aLine.Text("server_bytes_unread") +
         ", of the answer not acknowledged: " + aLine.Text("caller_bytes_unacknowledged");
}

std::string FormatEngineOrder(const LogLine& aLine)
{
  return "the leader ordered engine " + aLine.Text("server") + " to " +
         aLine.Text("kind") + " (group " + aLine.Text("group") +
         "): " + aLine.Text("reply");
}

std::string FormatMemberExamination(const LogLine& aLine)
{
  const bool answers = aLine.fields.value("answers", nlohmann::json(false)) == true;
  return "the leader asked engine " + aLine.Text("server") +
         " for its health: " + (answers ? "it answered" : "no answer");
}

std::string FormatGroupPlan(const LogLine& aLine)
{
  return "groups at that time: " + aLine.Text("plan");
}

std::string FormatServerEvent(const LogLine& aLine)
{
  static const std::map<std::string, std::string> kEventTexts = {
    { "server_gone", "its registration ended" },
    { "server_leaving", "it announced that it is leaving" },
    { "server_registered", "it registered" },
    { "server_crashed",
      "its connection broke, and a probe shows that its process ended" },
    { "server_wait_stated", "it wants nothing for a time" },
  };
  const auto found = kEventTexts.find(aLine.event);
  return "server " + aLine.Text("server") + ": " +
         (found == kEventTexts.end() ? Printable(aLine.event) : found->second);
}

std::string FormatStoreEvent(const LogLine& aLine)
{
  return aLine.event == "store_lost"
           ? "this VM cannot reach the store: " + aLine.Text("reason")
           : "this VM reaches the store again after " + aLine.Text("outage_ms") + " ms";
}

const std::map<std::string, LineFormatter, std::less<>>& LineFormatters()
{
  static const std::map<std::string, LineFormatter, std::less<>> kFormatters = {
    { "request_rejected", &FormatRejection },
    { "placement_refused", &FormatPlacementRefusal },
    { "route_refused", &FormatRouteRefusal },
    { "attempt_end", &FormatAttempt },
    { "request_end", &FormatRequestEnd },
    { "request_cut", &FormatCut },
    { "engine_order", &FormatEngineOrder },
    { "member_examined", &FormatMemberExamination },
    { "group_plan", &FormatGroupPlan },
    { "server_gone", &FormatServerEvent },
    { "server_leaving", &FormatServerEvent },
    { "server_registered", &FormatServerEvent },
    { "server_crashed", &FormatServerEvent },
    { "server_wait_stated", &FormatServerEvent },
    { "store_lost", &FormatStoreEvent },
    { "store_regained", &FormatStoreEvent },
  };
  return kFormatters;
}

} // namespace

std::string DescribeLogLine(const LogLine& aLine)
{
  const auto formatter = LineFormatters().find(aLine.event);
  return formatter == LineFormatters().end() ? Printable(aLine.fields.dump())
                                             : formatter->second(aLine);
}

RequestTimeline::RequestTimeline(std::string aRequest)
  : request(std::move(aRequest))
{
}

void RequestTimeline::AddLine(std::string_view aLine)
{
  auto line = ReadLogLine(aLine);
  if (!line) {
    this->damagedLines += line.LastReason() == LogLineFailure::Damaged ? 1 : 0;
    return;
  }
  this->omittedLines += line->IntegerOrZero("left_out");
  const auto requestField = line->fields.find("request");
  if (requestField == line->fields.end()) {
    if (this->contextLines.size() >= kMaxContextLines) {
      ++this->droppedContextLines;
    } else if (LineFormatters().contains(line->event)) {
      this->contextLines.push_back(std::move(*line));
    }
    return;
  }
  // The complete id is compared in the form that the process logged: an id that contains
  // this one, or that looks like a log line, is a different id.
  if (requestField->is_string() &&
      requestField->get_ref<const std::string&>() == this->request) {
    this->ExtendScope(*line);
    this->requestLines.push_back(std::move(*line));
  }
}

void RequestTimeline::ExtendScope(const LogLine& aLine)
{
  this->firstMs =
    this->requestLines.empty() ? aLine.unixMs : std::min(this->firstMs, aLine.unixMs);
  this->lastMs = std::max(this->lastMs, aLine.unixMs);
  this->vms.insert(aLine.vm);
  // A line is logged at the end of an operation; `took_ms` gives its start.
  this->firstMs = std::min(this->firstMs, aLine.unixMs - aLine.IntegerOrZero("took_ms"));
  if (aLine.fields.contains("group")) {
    this->groups.insert(aLine.Text("group"));
  }
  if (aLine.fields.contains("server")) {
    this->servers.insert(aLine.Text("server"));
  }
}

bool RequestTimeline::IsRelated(const LogLine& aLine) const
{
  const bool isWithinTimeSpan = aLine.unixMs >= this->firstMs - kContextMarginMs &&
                                aLine.unixMs <= this->lastMs + kContextMarginMs;
  if (!isWithinTimeSpan) {
    return false;
  }
  // Every VM logs changes of the store connection and of registrations; only those from
  // VMs that handled the request are relevant.
  const bool isLoggedByEveryVm =
    aLine.event.starts_with("store_") || aLine.event.starts_with("server_");
  if (isLoggedByEveryVm && !this->vms.contains(aLine.vm)) {
    return false;
  }
  if (aLine.event.starts_with("store_")) {
    return true;
  }
  return (aLine.fields.contains("group") && this->groups.contains(aLine.Text("group"))) ||
         (aLine.fields.contains("server") &&
          this->servers.contains(aLine.Text("server")));
}

const LogLine* RequestTimeline::LastGroupPlan() const
{
  const LogLine* last = nullptr;
  for (const auto& line : this->contextLines) {
    const bool earlier = line.event == "group_plan" && line.unixMs <= this->lastMs;
    if (earlier && (last == nullptr || line.unixMs > last->unixMs)) {
      last = &line;
    }
  }
  return last;
}

std::vector<RequestTimeline::Entry> RequestTimeline::Entries() const
{
  std::vector<Entry> entries;
  const auto add = [&entries](const LogLine& aLine) {
    entries.push_back({ aLine, DescribeLogLine(aLine) });
  };
  std::ranges::for_each(this->requestLines, add);
  if (!this->requestLines.empty()) {
    for (const auto& line : this->contextLines) {
      if (this->IsRelated(line)) {
        add(line);
      }
    }
    const auto* plan =
      this->FindRequestLine("placement_refused") ? this->LastGroupPlan() : nullptr;
    if (plan != nullptr) {
      add(*plan);
    }
  }
  std::ranges::stable_sort(
    entries, {}, [](const Entry& aEntry) { return aEntry.line.unixMs; });
  return entries;
}

const LogLine* RequestTimeline::FindRequestLine(std::string_view aEvent) const
{
  const auto found = std::ranges::find(this->requestLines, aEvent, &LogLine::event);
  return found == this->requestLines.end() ? nullptr : &*found;
}

bool RequestTimeline::HasLostMember(const std::string& aGroup) const
{
  std::set<std::string> members;
  for (const auto& line : this->contextLines) {
    if (line.event == "engine_order" && line.Text("group") == aGroup) {
      members.insert(line.Text("server"));
    }
  }
  return std::ranges::any_of(this->contextLines, [&](const LogLine& aLine) {
    const bool lost = aLine.event == "server_gone" ||
                      (aLine.event == "member_examined" &&
                       aLine.fields.value("answers", nlohmann::json(true)) == false);
    return lost && members.contains(aLine.Text("server")) &&
           aLine.unixMs >= this->firstMs - kContextMarginMs &&
           aLine.unixMs <= this->lastMs + kContextMarginMs;
  });
}

std::string RequestTimeline::ExplainOutcome() const
{
  if (this->requestLines.empty()) {
    return {};
  }
  if (const auto* rejected = this->FindRequestLine("request_rejected")) {
    return "it was rejected before it was placed: " + rejected->Text("reason");
  }
  std::string failures;
  for (const auto& line : this->requestLines) {
    if (line.event != "attempt_end" || line.Text("end") == "answered") {
      continue;
    }
    const auto where = line.fields.contains("group") ? "group " + line.Text("group")
                                                     : "server " + line.Text("server");
    failures += (failures.empty() ? "" : "; then ") + where + " failed it (" +
                line.Text("end") + ")";
    if (line.fields.contains("group") && this->HasLostMember(line.Text("group"))) {
      failures += ", a member of that group was lost";
    }
  }
  if (!failures.empty()) {
    return failures;
  }
  if (const auto* refused = this->FindRequestLine("placement_refused")) {
    if (IsYield(*refused)) {
      return "it yielded to requests of priority " + refused->Text("yields_to") +
             " for its model";
    }
    return "the groups of its model could not serve it in the time wanted";
  }
  if (const auto* refused = this->FindRequestLine("route_refused")) {
    return "no server of " + refused->Text("pool") + " could be sent it" +
           FormatSpared(*refused);
  }
  const auto* end = this->FindRequestLine("request_end");
  return end != nullptr && end->Text("outcome") == "answered"
           ? "it was answered by its first attempt"
           : "the lines read do not show the cause; some lines may be missing";
}

nlohmann::json RequestTimeline::ToJson() const
{
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& entry : this->Entries()) {
    entries.push_back({ { "unix_ms", entry.line.unixMs },
                        { "vm", Printable(entry.line.vm) },
                        { "event", Printable(entry.line.event) },
                        { "text", entry.text },
                        { "fields", entry.line.fields } });
  }
  return { { "request", Printable(this->request) },
           { "cause", this->ExplainOutcome() },
           { "entries", std::move(entries) },
           { "damaged_lines", this->damagedLines },
           { "lines_left_out", this->omittedLines },
           { "context_lines_dropped", this->droppedContextLines } };
}

} // namespace toucanstand
