package org.corianderweir.logic.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link StoreFollower}. */
public class StoreFollowerTest {
  private static final long START = Duration.ofHours(1).toNanos();
  private static final String ZONE = "north-a";
  private static final List<String> MEMBERS = List.of("entry-1", "entry-2", "entry-3");
  private static final List<String> ORDER = RelayRanking.rank(MEMBERS, ZONE);
  private static final RelayTiming TIMING =
      new RelayTiming(Duration.ofMillis(1_100), Duration.ofMillis(100), Duration.ofMillis(2_200));

  @Test
  public void oneMemberOfTheZoneIsItsRelay() {
    List<Integer> ranks = ORDER.stream().map(name -> follower(name).rank()).toList();
    assertEquals(ranks, List.of(0, 1, 2));
  }

  @DataProvider
  public Object[][] silences() {
    return new Object[][] {
      {0, 0, WatchDecision.WATCH_AS_RELAY},
      {1, 1_099, WatchDecision.FOLLOW},
      {1, 1_100, WatchDecision.WATCH_FOR_SILENT_RELAY},
      {2, 1_199, WatchDecision.FOLLOW},
      {2, 1_200, WatchDecision.WATCH_FOR_SILENT_RELAY}
    };
  }

  /** The deputies of a silent relay take its place one after the other. */
  @Test(dataProvider = "silences")
  public void deputiesReplaceASilentRelay(int rank, long milliseconds, WatchDecision expected) {
    StoreFollower follower = follower(ORDER.get(rank));
    assertEquals(follower.decide(at(milliseconds)), expected);
  }

  /** A relay whose watch hangs still sends updates, but they confirm an ever older view. */
  @Test
  public void deputyReplacesARelayWhoseViewIsOld() {
    StoreFollower follower = follower(ORDER.get(1));
    follower.receive(ORDER.get(0), heartbeat(10, Duration.ofMillis(1_000), true), at(1_000));
    follower.receive(ORDER.get(0), heartbeat(10, Duration.ofMillis(2_100), true), at(2_100));
    assertEquals(follower.decide(at(2_199)), WatchDecision.FOLLOW);
    assertEquals(follower.decide(at(2_200)), WatchDecision.WATCH_FOR_OLD_VIEW);
  }

  /** A relay that the store turns away says so, and is not waited for. */
  @Test
  public void deputyReplacesARelayThatLostTheStoreAtOnce() {
    StoreFollower follower = follower(ORDER.get(1));
    follower.receive(ORDER.get(0), heartbeat(10, Duration.ZERO, true), at(500));
    follower.receive(ORDER.get(0), heartbeat(10, Duration.ofMillis(700), false), at(700));
    assertEquals(follower.decide(at(700)), WatchDecision.WATCH_FOR_SILENT_RELAY);
  }

  /** A relay that was paused sent a write of a server that had left meanwhile. */
  @Test
  public void updateOfARelayThatIsBehindIsIgnored() {
    StoreFollower follower = follower(ORDER.get(1));
    StoreUpdate removal =
        new StoreUpdate(
            10,
            12,
            List.of(new StoreChange.Removed("servers/a", 12)),
            Duration.ZERO,
            true,
            Optional.empty());
    StoreUpdate olderWrite = update(10, 11, written(11));
    assertEquals(
        follower.receive(ORDER.get(2), removal, at(100)),
        new RelayReaction.Apply(removal.changes(), Optional.empty()));
    assertEquals(follower.receive(ORDER.get(0), olderWrite, at(200)), new RelayReaction.None());
  }

  /** Updates that overlap with known changes apply only the rest. */
  @Test
  public void knownChangesAreNotAppliedAgain() {
    StoreFollower follower = follower(ORDER.get(1));
    StoreChange first = written(11);
    StoreChange second = written(12);
    follower.receive(ORDER.get(0), update(10, 11, first), at(100));
    RelayReaction reaction = follower.receive(ORDER.get(0), update(9, 12, first, second), at(200));
    assertEquals(reaction, new RelayReaction.Apply(List.of(second), Optional.empty()));
  }

  /** A lost update is noticed by the next one, requested, and answered from the history. */
  @Test
  public void missingChangesAreRequested() {
    StoreFollower relay = follower(ORDER.get(0));
    StoreFollower follower = follower(ORDER.get(1));
    StoreChange lost = written(11);
    relay.watched(List.of(lost), 11, at(100));
    RelayReaction reaction = follower.receive(ORDER.get(0), relay.heartbeat(at(200)), at(200));
    assertEquals(reaction, new RelayReaction.Request(10));
    StoreUpdate answer = relay.changesAfter(10, at(210)).orElseThrow();
    assertEquals(
        follower.receive(ORDER.get(0), answer, at(220)),
        new RelayReaction.Apply(List.of(lost), Optional.empty()));
    assertEquals(follower.revision(), 11);
  }

  @Test
  public void historyIsBounded() {
    StoreFollower relay = follower(ORDER.get(0));
    for (long revision = 11; revision < 5_000; revision++) {
      relay.watched(List.of(written(revision)), revision, at(revision));
    }
    assertEquals(relay.changesAfter(10, at(5_000)), Optional.empty());
    assertTrue(relay.changesAfter(4_990, at(5_000)).isPresent());
  }

  /** A relay that no longer knew the missing changes did not answer. */
  @Test
  public void snapshotReplacesChangesThatAreNoLongerKnown() {
    StoreFollower relay = follower(ORDER.get(0));
    StoreFollower follower = follower(ORDER.get(1));
    relay.listed(5_000, at(100));
    assertEquals(relay.changesAfter(10, at(100)), Optional.empty());
    List<StoreItem> items = List.of(item("b", 10, 4_000), item("a", 10, 12));
    List<StoreSnapshotPart> parts = relay.snapshot(items, at(150));
    assertEquals(parts.size(), 1);
    assertEquals(
        follower.receive(ORDER.get(0), parts.get(0), at(160)),
        new RelayReaction.Replace(List.of(items.get(1), items.get(0)), 5_000, Optional.empty()));
    assertEquals(follower.revision(), 5_000);
    assertEquals(follower.age(at(160)), Duration.ofMillis(50));
    StoreChange next = written(5_001);
    relay.watched(List.of(next), 5_001, at(170));
    assertEquals(
        follower.receive(ORDER.get(0), relay.changesAfter(5_000, at(170)).orElseThrow(), at(180)),
        new RelayReaction.Apply(List.of(next), Optional.empty()));
  }

  /** A relay that was paused sent a snapshot with a server that had left meanwhile. */
  @Test(dataProvider = "olderRevisions")
  public void snapshotOfARelayThatIsBehindIsIgnored(long revision) {
    StoreFollower relay = follower(ORDER.get(0));
    StoreFollower follower = follower(ORDER.get(1));
    relay.listed(revision, at(100));
    follower.listed(50, at(100));
    StoreSnapshotPart part = relay.snapshot(List.of(item("a", 10, 12)), at(100)).get(0);
    assertEquals(follower.receive(ORDER.get(0), part, at(110)), new RelayReaction.None());
    assertEquals(follower.revision(), 50);
  }

  @DataProvider
  public Object[][] olderRevisions() {
    return new Object[][] {{10L}, {49L}, {50L}};
  }

  /** An incomplete snapshot would remove the items of its missing parts. */
  @Test
  public void snapshotIsAppliedWhenItIsComplete() {
    StoreFollower relay = follower(ORDER.get(0));
    StoreFollower follower = follower(ORDER.get(1));
    relay.listed(100, at(100));
    List<StoreItem> items =
        List.of(item("a", 200_000, 12), item("b", 200_000, 13), item("c", 200_000, 14));
    List<StoreSnapshotPart> parts = relay.snapshot(items, at(100));
    assertEquals(parts.size(), 3);
    RelayReaction none = new RelayReaction.None();
    assertEquals(follower.receive(ORDER.get(0), parts.get(2), at(101)), none);
    assertEquals(follower.receive(ORDER.get(0), parts.get(0), at(102)), none);
    // Another sender may divide its items in another way, so its parts are not combined with these.
    assertEquals(follower.receive(ORDER.get(2), parts.get(1), at(103)), none);
    assertEquals(follower.receive(ORDER.get(0), parts.get(0), at(104)), none);
    assertEquals(follower.receive(ORDER.get(0), parts.get(2), at(105)), none);
    assertEquals(
        follower.receive(ORDER.get(0), parts.get(1), at(106)),
        new RelayReaction.Replace(items, 100, Optional.empty()));
  }

  /** Parts of two snapshots of the same revision with other borders left out the keys between. */
  @Test
  public void rangesOfASnapshotContinueEachOther() {
    StoreFollower relay = follower(ORDER.get(0));
    StoreFollower follower = follower(ORDER.get(1));
    relay.listed(100, at(100));
    StoreItem first = item("a", 200_000, 12);
    StoreItem second = item("b", 50_000, 13);
    StoreItem last = item("c", 200_000, 14);
    List<StoreSnapshotPart> narrow =
        relay.snapshot(List.of(first, item("b", 200_000, 13), last), at(100));
    List<StoreSnapshotPart> wide = relay.snapshot(List.of(first, second, last), at(100));
    assertEquals(List.of(narrow.size(), wide.size()), List.of(3, 2));
    RelayReaction none = new RelayReaction.None();
    assertEquals(follower.receive(ORDER.get(0), narrow.get(0), at(101)), none);
    assertEquals(follower.receive(ORDER.get(0), wide.get(1), at(102)), none);
    assertEquals(
        follower.receive(ORDER.get(0), wide.get(0), at(103)),
        new RelayReaction.Replace(List.of(first, second, last), 100, Optional.empty()));
  }

  /** A snapshot that does not fit on the link between two instances would never be complete. */
  @Test
  public void snapshotThatIsTooLargeIsNotSent() {
    List<StoreItem> items =
        LongStream.range(0, 16).mapToObj(key -> item("key-" + key, 200_000, key)).toList();
    assertEquals(follower(ORDER.get(0)).snapshot(items, at(100)), List.of());
  }

  /** The first 500 of many changes counted as a confirmation that the view was current. */
  @Test
  public void partOfTheChangesDoesNotConfirmTheView() {
    StoreFollower relay = follower(ORDER.get(0));
    relay.decide(at(0));
    List<StoreChange> part =
        LongStream.range(11, 511).mapToObj(StoreFollowerTest::written).toList();
    relay.watched(part, 510, at(2_000));
    assertEquals(relay.age(at(2_000)), Duration.ofMillis(2_000));
    assertTrue(relay.readsOn(at(2_000)));
    relay.watched(List.of(written(511)), 511, at(2_100));
    assertEquals(relay.age(at(2_100)), Duration.ZERO);
    assertFalse(relay.readsOn(at(2_100)));
  }

  /** An answer that was older than the view of the relay counted as a confirmation. */
  @Test
  public void answerBehindTheRelayDoesNotConfirmTheView() {
    StoreFollower follower = follower(ORDER.get(1));
    assertEquals(
        follower.receive(ORDER.get(0), heartbeat(2_000, Duration.ZERO, true), at(1_900)),
        new RelayReaction.Request(10));
    List<StoreChange> part =
        LongStream.range(11, 511).mapToObj(StoreFollowerTest::written).toList();
    follower.watched(part, 510, at(2_000));
    assertEquals(follower.age(at(2_000)), Duration.ofMillis(2_000));
    assertFalse(follower.readsOn(at(2_000)), "the zone has the changes");
    assertTrue(follower.readsOn(at(3_000)), "the zone does not send them");
  }

  /** Each request adds an answer to a link that may be slow already. */
  @Test
  public void requestsWithoutAnAnswerBecomeRarer() {
    StoreFollower follower = follower(ORDER.get(1));
    List<Long> requests =
        LongStream.range(0, 60)
            .map(step -> step * 100)
            .filter(
                milliseconds ->
                    follower.receive(
                            ORDER.get(0), heartbeat(2_000, Duration.ZERO, true), at(milliseconds))
                        instanceof RelayReaction.Request)
            .boxed()
            .toList();
    assertEquals(requests, List.of(0L, 300L, 900L, 2_100L, 3_300L, 4_500L, 5_700L));
  }

  private static StoreItem item(String key, int valueBytes, long revision) {
    return new StoreItem(key, new byte[valueBytes], revision);
  }

  private static StoreFollower follower(String name) {
    StoreFollower follower = new StoreFollower(name, ZONE, TIMING);
    follower.setZoneMembers(MEMBERS);
    follower.listed(10, START);
    return follower;
  }

  private static StoreUpdate heartbeat(long revision, Duration age, boolean inTouch) {
    return new StoreUpdate(revision, revision, List.of(), age, inTouch, Optional.empty());
  }

  private static StoreUpdate update(long from, long to, StoreChange... changes) {
    return new StoreUpdate(from, to, List.of(changes), Duration.ZERO, true, Optional.empty());
  }

  private static StoreChange written(long revision) {
    return new StoreChange.Written(new StoreItem("servers/" + revision, new byte[] {1}, revision));
  }

  private static long at(long milliseconds) {
    return START + Duration.ofMillis(milliseconds).toNanos();
  }
}
