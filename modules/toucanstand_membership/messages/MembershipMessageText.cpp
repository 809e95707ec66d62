#include "messages/MembershipMessageText.h"

#include <array>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

using nlohmann::json;

// Integers above this lose precision in tools that read JSON numbers as doubles.
constexpr std::int64_t kMaximumInteger = 1LL << 53U;

json ToJson(const Vm& aVm)
{
  return { { "id", aVm.id.Value() },
           { "zone", aVm.zone.Value() },
           { "node", aVm.nodeEndpoint.Text() } };
}

json ToJson(const MemberDelta& aDelta)
{
  json object = ToJson(aDelta.vm);
  object["incarnation"] = aDelta.incarnation;
  object["state"] = Name(aDelta.state);
  object["leaving"] = aDelta.leaving;
  return object;
}

json ToJson(const Notice& aNotice)
{
  return { { "kind", Name(aNotice.kind) },
           { "key", aNotice.key },
           { "remaining_ms", ToMilliseconds(aNotice.remaining).count() } };
}

template<typename Item>
json ToJsonList(const std::vector<Item>& aItems)
{
  json list = json::array();
  for (const auto& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list;
}

json ToJson(const MessageHeader& aHeader)
{
  json object = {
    { "version", kMembershipMessageVersion }, { "sender", ToJson(aHeader.sender) },
    { "incarnation", aHeader.incarnation },   { "leaving", aHeader.leaving },
    { "revision", aHeader.revision },         { "synchronized", aHeader.synchronized }
  };
  if (!aHeader.deltas.empty()) {
    object["deltas"] = ToJsonList(aHeader.deltas);
  }
  if (!aHeader.notices.empty()) {
    object["notices"] = ToJsonList(aHeader.notices);
  }
  return object;
}

void AddContent(const Probe& aProbe, json& aObject)
{
  if (aProbe.join) {
    aObject["join"] = true;
  }
}

void AddContent(const ProbeAck& aAck, json& aObject)
{
  aObject["subject"] = aAck.subject.Value();
}

void AddContent(const ProbeRequest& aRequest, json& aObject)
{
  aObject["target"] = ToJson(aRequest.target);
}

std::string ReadIdentifier(SettingsReader& aReader, std::string_view aKey)
{
  auto text = aReader.Text(aKey);
  if (text.empty() || text.size() > kMaximumIdentifierBytes) {
    aReader.Reject(aKey, SettingsRule::InRange, "1 to 128 bytes");
  }
  return text;
}

Vm ReadVm(SettingsReader& aReader)
{
  Vm vm;
  vm.id = VmId(ReadIdentifier(aReader, "id"));
  vm.zone = ZoneId(ReadIdentifier(aReader, "zone"));
  const auto endpoint = Endpoint::Parse(aReader.Text("node"));
  if (!endpoint) {
    aReader.Reject("node", SettingsRule::InRange, "address:port");
    return vm;
  }
  vm.nodeEndpoint = *endpoint;
  return vm;
}

Incarnation ReadIncarnation(SettingsReader& aReader)
{
  return static_cast<Incarnation>(
    aReader.Whole("incarnation", 0, static_cast<std::int64_t>(kMaximumIncarnation)));
}

MemberDelta ReadDelta(SettingsReader& aReader)
{
  MemberDelta delta;
  delta.vm = ReadVm(aReader);
  delta.incarnation = ReadIncarnation(aReader);
  const auto state = aReader.Choice("state", { "alive", "suspect", "dead" });
  delta.state = state == "alive"     ? MemberState::Alive
                : state == "suspect" ? MemberState::Suspect
                                     : MemberState::Dead;
  delta.leaving = aReader.Flag("leaving");
  return delta;
}

Notice ReadNotice(SettingsReader& aReader)
{
  Notice notice;
  notice.kind = aReader.Choice("kind", { "quarantine", "leaving-server" }) == "quarantine"
                  ? NoticeKind::Quarantine
                  : NoticeKind::LeavingServer;
  notice.key = ReadIdentifier(aReader, "key");
  notice.remaining =
    aReader.Milliseconds("remaining_ms", Duration::zero(), kMaximumNoticeLifetime);
  return notice;
}

template<typename Item>
std::vector<Item> ReadList(SettingsReader& aReader,
                           std::string_view aKey,
                           std::size_t aMaximum,
                           Item (*aRead)(SettingsReader&))
{
  std::vector<Item> items;
  bool tooMany = false;
  aReader.ObjectList(aKey, [&](SettingsReader& aItem) {
    tooMany = tooMany || items.size() == aMaximum;
    if (!tooMany) {
      items.push_back(aRead(aItem));
    }
  });
  if (tooMany) {
    aReader.Reject(
      aKey, SettingsRule::InRange, "at most " + std::to_string(aMaximum) + " items");
  }
  return items;
}

MessageHeader ReadHeader(SettingsReader& aReader)
{
  MessageHeader header;
  aReader.Whole("version", kMembershipMessageVersion, kMembershipMessageVersion);
  if (!aReader.Has("sender")) {
    aReader.Reject("sender", SettingsRule::Required, "");
  }
  aReader.Object("sender",
                 [&header](SettingsReader& aSender) { header.sender = ReadVm(aSender); });
  header.incarnation = ReadIncarnation(aReader);
  header.leaving = aReader.Flag("leaving");
  header.revision = aReader.Whole("revision", 0, kMaximumInteger);
  header.synchronized = aReader.Flag("synchronized");
  header.deltas = ReadList(aReader, "deltas", kMaximumMemberDeltas, &ReadDelta);
  header.notices = ReadList(aReader, "notices", kMaximumNotices, &ReadNotice);
  return header;
}

MembershipMessage ReadProbe(SettingsReader& aReader)
{
  Probe probe;
  probe.join = aReader.Flag("join", false);
  return probe;
}

MembershipMessage ReadAck(SettingsReader& aReader)
{
  ProbeAck ack;
  ack.subject = VmId(ReadIdentifier(aReader, "subject"));
  return ack;
}

MembershipMessage ReadRequest(SettingsReader& aReader)
{
  ProbeRequest request;
  if (!aReader.Has("target")) {
    aReader.Reject("target", SettingsRule::Required, "");
  }
  aReader.Object(
    "target", [&request](SettingsReader& aTarget) { request.target = ReadVm(aTarget); });
  return request;
}

struct MessageType
{
  const char* name;
  MembershipMessage (*read)(SettingsReader&);
};

// In the order of the alternatives of MembershipMessage.
constexpr std::array<MessageType, 3> kMessageTypes = { {
  { "probe", &ReadProbe },
  { "probe-ack", &ReadAck },
  { "probe-request", &ReadRequest },
} };

} // namespace

const char* Name(NoticeKind aKind)
{
  return aKind == NoticeKind::Quarantine ? "quarantine" : "leaving-server";
}

const char* Name(MessageError aError)
{
  constexpr std::array<const char*, kMessageErrorCount> kNames = {
    "too_large", "malformed_json", "unknown_version", "unknown_type", "invalid_content"
  };
  return kNames.at(static_cast<std::size_t>(aError));
}

const MessageHeader& HeaderOf(const MembershipMessage& aMessage)
{
  return std::visit(
    [](const auto& aContent) -> const MessageHeader& { return aContent.header; },
    aMessage);
}

const char* TypeName(const MembershipMessage& aMessage)
{
  return kMessageTypes.at(aMessage.index()).name;
}

std::string FormatMembershipMessage(const MembershipMessage& aMessage)
{
  json object = ToJson(HeaderOf(aMessage));
  object["type"] = TypeName(aMessage);
  std::visit(
    [&object](const auto& aContent) {
      object["sequence"] = aContent.sequence;
      AddContent(aContent, object);
    },
    aMessage);
  return EncodeJson(object);
}

Result<MembershipMessage, MessageError> ParseMembershipMessage(std::string_view aText)
{
  const auto document = DecodeJson(aText, { kMaximumMembershipBytes });
  if (!document) {
    return document.LastReason() == DecodeFailure::TooLarge ? MessageError::TooLarge
                                                            : MessageError::MalformedJson;
  }
  if (!document->is_object()) {
    return MessageError::InvalidContent;
  }
  if (!document->contains("version") ||
      (*document)["version"] != kMembershipMessageVersion) {
    return MessageError::UnknownVersion;
  }
  SettingsReader reader(*document);
  const auto typeName = reader.Text("type");
  for (const auto& type : kMessageTypes) {
    if (typeName != type.name) {
      continue;
    }
    auto message = type.read(reader);
    const auto sequence =
      static_cast<std::uint64_t>(reader.Whole("sequence", 0, kMaximumInteger));
    std::visit(
      [&](auto& aContent) {
        aContent.header = ReadHeader(reader);
        aContent.sequence = sequence;
      },
      message);
    reader.Finish();
    if (!reader.Errors().empty()) {
      return MessageError::InvalidContent;
    }
    return message;
  }
  return MessageError::UnknownType;
}

} // namespace toucanstand
