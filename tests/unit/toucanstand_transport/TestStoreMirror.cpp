#include <deque>
#include <functional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "store/StoreMirror.h"

using namespace toucanstand;

namespace {

/// Answers from a script and stops the loop at its end.
class ScriptedFeed final : public ChangeFeed
{
public:
  explicit ScriptedFeed(boost::asio::io_context& aLoop)
    : loop(aLoop)
  {
  }

  Task<Result<StorePage, StoreFailure>> ReadPage(std::string /*aPrefix*/,
                                                 std::string aAfterKey) override
  {
    this->asked.push_back("page " + aAfterKey);
    if (this->pages.empty()) {
      this->loop.stop();
      co_return StoreFailure::NotSent;
    }
    auto page = this->pages.front();
    this->pages.pop_front();
    co_return page;
  }

  Task<Result<StoreChanges, StoreFailure>> ReadChanges(
    std::string /*aPrefix*/,
    StoreRevision aAfter,
    std::chrono::milliseconds /*aWait*/) override
  {
    this->asked.push_back("changes " + std::to_string(aAfter));
    if (this->whileReading) {
      std::exchange(this->whileReading, nullptr)();
    }
    if (this->changes.empty()) {
      this->loop.stop();
      co_return StoreFailure::NotSent;
    }
    auto next = this->changes.front();
    this->changes.pop_front();
    co_return next;
  }

  boost::asio::io_context& loop; // NOLINT(misc-non-private-member-variables-in-classes)
  std::deque<Result<StorePage, StoreFailure>> pages;
  std::deque<Result<StoreChanges, StoreFailure>> changes;
  std::vector<std::string> asked;
  /// Called once while the first changes are being read.
  std::function<void()> whileReading;
};

struct Heard
{
  std::vector<std::string> events;

  StoreMirrorListener Listener()
  {
    return { [this](const StoreChange& aChange) {
              this->events.push_back(aChange.key + "=" + aChange.value.value_or("gone"));
            },
             [] {},
             [this](const std::vector<std::string>& aKeys, StoreRevision) {
               this->events.push_back("all " + std::to_string(aKeys.size()));
             },
             [this](StoreFailure) { this->events.push_back("lost"); },
             [this](Duration) { this->events.push_back("regained"); },
             [this](StoreHistory) { this->events.push_back("restored"); } };
  }
};

StoreMirrorSettings Settings()
{
  StoreMirrorSettings settings;
  settings.interval = Duration::zero();
  settings.retryPause = std::chrono::milliseconds(1);
  return settings;
}

} // namespace

TEST_CASE("Changes made while pages are read are not lost", "[mirror]")
{
  // Guards against going on from the last page, whose revision is newer than the first
  // page's content.
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  feed.pages.push_back(StorePage{ { { "a", "1", 3 } }, true, 10 });
  feed.pages.push_back(StorePage{ { { "b", "1", 4 } }, false, 12 });
  feed.changes.push_back(StoreChanges{ { { "a", "2", 11 } }, 12 });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(feed.asked ==
        std::vector<std::string>{ "page ", "page a", "changes 10", "changes 12" });
  CHECK(heard.events == std::vector<std::string>{ "a=1", "b=1", "all 2", "a=2", "lost" });
  CHECK(mirror.IsComplete());
}

TEST_CASE("A lost history is read anew and is no outage", "[mirror]")
{
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  feed.pages.push_back(StorePage{ {}, false, 5 });
  feed.changes.push_back(StoreFailure::HistoryLost);
  feed.pages.push_back(StorePage{ { { "a", "1", 8 } }, false, 9 });
  feed.changes.push_back(StoreChanges{ {}, 9 });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(heard.events == std::vector<std::string>{ "all 0", "a=1", "all 1", "lost" });
}

TEST_CASE("The end of an outage is heard before what it removed", "[mirror]")
{
  // Guards against registrations that are dropped because they lapsed while the store was
  // away.
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  feed.pages.push_back(StorePage{ { { "a", "1", 1 } }, false, 5 });
  feed.changes.push_back(StoreFailure::EffectUnknown);
  feed.changes.push_back(StoreFailure::NotSent);
  feed.changes.push_back(StoreChanges{ { { "a", std::nullopt, 7 } }, 7 });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(heard.events ==
        std::vector<std::string>{ "a=1", "all 1", "lost", "regained", "a=gone", "lost" });
}

TEST_CASE("A relayed answer makes the copy as old as the relay's", "[mirror]")
{
  // Guards against a VM that takes the word of a relay for newer than it is, and rejects
  // a request for a configuration that has changed meanwhile.
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  feed.pages.push_back(StorePage{ {}, false, 5 });
  feed.changes.push_back(StoreChanges{ {}, 6, std::chrono::hours(1) });
  feed.changes.push_back(StoreChanges{ { { "a", "1", 7 } }, 7, std::chrono::minutes(1) });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  const auto startedAt = BootClock::now();
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  // The first reading came from the store itself; older answers do not undo it.
  CHECK(mirror.UpToDateAt() >= startedAt);
  CHECK(mirror.UpToDateAt() <= BootClock::now());
  CHECK(mirror.At() == 7);
}

TEST_CASE("Changes that come unasked are taken once and without a gap", "[mirror]")
{
  // Guards against a change that is applied again after a later one, and against a copy
  // that lacks a change and believes to be complete.
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  feed.pages.push_back(StorePage{ {}, false, 5 });
  feed.whileReading = [&mirror] {
    // It may lack a change at revision 6.
    mirror.TakeUnasked(6, { { { "c", "1", 7 } }, 7 });
    mirror.TakeUnasked(4, { { { "a", "1", 5 }, { "c", "1", 7 }, { "b", "1", 8 } }, 8 });
  };
  feed.changes.push_back(
    StoreChanges{ { { "c", "1", 7 }, { "b", "1", 8 }, { "b", "2", 9 } }, 9 });
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(heard.events == std::vector<std::string>{ "all 0", "c=1", "b=1", "b=2", "lost" });
  CHECK(mirror.At() == 9);
}

TEST_CASE("Pages of the store before and after its restoration are not mixed", "[mirror]")
{
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  const auto before = *MakeStoreRevision(1, 90);
  const auto after = *MakeStoreRevision(2, 70);
  feed.pages.push_back(StorePage{ { { "a", "1", before } }, true, before });
  feed.pages.push_back(StorePage{ { { "c", "1", after } }, false, after });
  feed.pages.push_back(StorePage{ { { "b", "1", after } }, false, after });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(heard.events ==
        std::vector<std::string>{ "a=1", "restored", "b=1", "all 1", "lost" });
  CHECK(mirror.At() == after);
}

TEST_CASE("A relay's changes of a restored store are taken over once", "[mirror]")
{
  boost::asio::io_context loop;
  ScriptedFeed feed(loop);
  const auto before = *MakeStoreRevision(1, 90);
  const auto after = *MakeStoreRevision(2, 70);
  feed.pages.push_back(StorePage{ { { "a", "1", before } }, false, before });
  feed.changes.push_back(StoreChanges{ { { "a", "2", after } }, after });
  feed.changes.push_back(StoreChanges{ { { "a", "1", before } }, before });
  Heard heard;
  StoreMirror mirror(loop, feed, Settings(), heard.Listener());
  boost::asio::co_spawn(loop, mirror.Run(), boost::asio::detached);
  loop.run();
  CHECK(heard.events ==
        std::vector<std::string>{ "a=1", "all 1", "restored", "a=2", "lost" });
  CHECK(mirror.At() == after);
}

TEST_CASE("Revisions and leader terms increase across a restoration", "[mirror]")
{
  const auto before = *MakeStoreRevision(1, 4'000'000);
  const auto after = *MakeStoreRevision(2, 12);
  CHECK(after > before);
  CHECK(HistoryOf(after) == 2);
  CHECK(NumberOf(after) == 12);
  CHECK(LeaderTermOf(after) > LeaderTermOf(before));
  CHECK(IsFromLaterHistory(after, before));
  CHECK_FALSE(IsFromLaterHistory(before, after));
  CHECK_FALSE(IsFromLaterHistory(after, 0));
  CHECK_FALSE(MakeStoreRevision(1, kMaxRevisionNumber + 1));
  CHECK_FALSE(MakeStoreRevision(kMaxStoreHistory + 1, 1));
  CHECK_FALSE(MakeStoreRevision(-1, 1));
}
