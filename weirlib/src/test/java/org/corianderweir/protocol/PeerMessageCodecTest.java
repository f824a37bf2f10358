package org.corianderweir.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.LendableSlice;
import org.corianderweir.logic.limits.LoanIdentifier;
import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.limits.slots.SlotMessage;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.logic.traffic.SharedServerReport;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.MembershipMessage.AgedRevision;
import org.corianderweir.protocol.MembershipMessage.AgedZoneReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PeerMessageCodec}. */
public class PeerMessageCodecTest {
  private static final long SEED = 11L;
  private static final EntryInstance INSTANCE =
      new EntryInstance("entry-1", "lagos", "lagos-1", "127.1.1.1", 1, 2, 3);

  private static final LoanIdentifier LOAN = new LoanIdentifier("entry-1", 2, 3);
  private static final SlotHolder HOLDER = new SlotHolder("entry-1", "127.1.1.1", 3, 4);
  private static final CellView VIEW =
      new CellView(9, CellRegister.free(3).with(List.of(1), Optional.of(HOLDER)));

  private static final List<SharedServerReport> REPORTS =
      List.of(
          new SharedServerReport(
              "i-cf66cb1087",
              1_780_000_000_000L,
              ServerLoad.of(
                  OptionalLong.of(3), OptionalLong.of(9), OptionalLong.of(3), OptionalLong.of(250)),
              480),
          new SharedServerReport(
              "i-e0",
              -1,
              ServerLoad.of(
                  OptionalLong.of(0),
                  OptionalLong.of(1_000_000),
                  OptionalLong.empty(),
                  OptionalLong.empty()),
              0));

  private static LimitMessage loan(LoanMessage message) {
    return new LimitMessage.Loan(message);
  }

  @DataProvider
  public Object[][] messages() {
    Member member = new Member(INSTANCE, 7, InstanceState.SERVING, 9);
    ZoneSample sample = new ZoneSample("lagos-1", 12, List.of(member, member));
    AgedRevision revision = new AgedRevision(9, 250);
    return new Object[][] {
      {new MembershipMessage.Introduction(INSTANCE)},
      {new DemandMessage.DemandReport(Map.of("club", 1.5))},
      {new StoreRelayMessage.ChangesRequest(41)},
      {
        new StoreRelayMessage.Update(
            new StoreUpdate(
                41,
                43,
                List.of(new StoreChange.Removed("servers/a", 42)),
                Duration.ofMillis(250),
                true,
                Optional.of(Duration.ofMillis(900))))
      },
      {
        new StoreRelayMessage.Update(
            new StoreUpdate(41, 41, List.of(), Duration.ZERO, false, Optional.empty()))
      },
      {new StoreRelayMessage.Snapshot(snapshotPart("", Optional.of("servers/b"), List.of()))},
      {new StoreRelayMessage.Snapshot(snapshotPart("servers/b", Optional.empty(), List.of()))},
      {new ServerReportMessage.Heard(7, REPORTS)},
      {new ServerReportMessage.Digest(7, REPORTS)},
      {new ServerReportMessage.Digest(1L << 40, List.of())},
      {new DemandMessage.RegionDemand("lagos", 6, Map.of("club", 9.0, "guild", 0.25))},
      {new DemandMessage.FleetDemand(Map.of("club", 1.5), 18, Map.of("club", 20.5))},
      {
        new MembershipMessage.Heartbeat(
            3, 2, InstanceState.SERVING, 9, revision, AgedRevision.NONE, new HybridTimestamp(5, 6))
      },
      {new MembershipMessage.ZoneStateRequest(8, sample)},
      {
        new MembershipMessage.ZoneStateResponse(
            8, 9, revision, List.of(new AgedZoneReport("kano-1", 3, 9, true, 400)), sample)
      },
      {new MembershipMessage.Sample(sample)},
      {new MembershipMessage.SamplesRequest()},
      {new ConfigurationMessage.RevisionAnnouncement(4)},
      {new ConfigurationMessage.IndexRequest(4)},
      {new ConfigurationMessage.IndexResponse(new ConfigurationHead(5, "entry-1/1", "ab"), "{}")},
      {new ConfigurationMessage.DocumentRequest("ab")},
      {new ConfigurationMessage.DocumentResponse("[]")},
      {loan(new LoanMessage.Request(LOAN, "organisation/a", new Allowance(1.5, 2), 7))},
      {
        loan(
            new LoanMessage.Grant(
                LOAN,
                "organisation/a",
                new LendableSlice.LoanAmount(new Allowance(1, 2), 0.5),
                Allowance.NONE))
      },
      {loan(new LoanMessage.RenewalRequest(LOAN, "organisation/a", 3, 7))},
      {loan(new LoanMessage.RenewalConfirmation(LOAN, "organisation/a", 3))},
      {loan(new LoanMessage.Return(LOAN, "organisation/a", 0.25))},
      {new LimitMessage.Slot(new SlotMessage.Probe(HOLDER, -5, VIEW))},
      {new LimitMessage.Slot(new SlotMessage.Confirmation(HOLDER, -5, VIEW, List.of(HOLDER)))},
      {new LimitMessage.Slot(new SlotMessage.VoteRequest(HOLDER, HOLDER, 3))},
      {new LimitMessage.Slot(new SlotMessage.Vote(HOLDER, HOLDER, 3))},
      {new LimitMessage.Slot(new SlotMessage.HandoverRequest(HOLDER))}
    };
  }

  @Test(dataProvider = "messages")
  public void decodesWhatItEncoded(PeerMessage message) {
    assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), message);
  }

  @Test
  public void snapshotKeepsItsItems() {
    PeerMessage message =
        new StoreRelayMessage.Snapshot(
            snapshotPart("a", Optional.of("c"), List.of(item("b"), item("c"))));
    byte[] encoded = PeerMessageCodec.encode(message);
    assertEquals(PeerMessageCodec.encode(PeerMessageCodec.decode(encoded)), encoded);
  }

  @DataProvider
  public Object[][] invalidSnapshots() {
    return new Object[][] {
      {snapshotPart("a", Optional.of("c"), List.of(item("c"), item("b")))},
      {snapshotPart("a", Optional.of("c"), List.of(item("a")))},
      {snapshotPart("a", Optional.of("c"), List.of(item("d")))},
      {snapshotPart("b", Optional.of("a"), List.of())},
      {snapshotPart("b", Optional.of("b"), List.of())}
    };
  }

  /** Items outside their range, or a range that ends before it begins, would hide other items. */
  @Test(dataProvider = "invalidSnapshots")
  public void refusesSnapshotsWithoutAnOrder(StoreSnapshotPart part) {
    byte[] encoded = PeerMessageCodec.encode(new StoreRelayMessage.Snapshot(part));
    assertThrows(WeirException.class, () -> PeerMessageCodec.decode(encoded));
  }

  private static StoreSnapshotPart snapshotPart(
      String afterKey, Optional<String> throughKey, List<StoreItem> items) {
    return new StoreSnapshotPart(
        new StoreUpdate(41, 41, List.of(), Duration.ZERO, true, Optional.empty()),
        afterKey,
        throughKey,
        items);
  }

  private static StoreItem item(String key) {
    return new StoreItem(key, new byte[] {1, 2}, 40);
  }

  @Test(dataProvider = "messages")
  public void rejectsTruncatedMessages(PeerMessage message) {
    byte[] encoded = PeerMessageCodec.encode(message);
    byte[] truncated = Arrays.copyOf(encoded, encoded.length - 1);
    assertThrows(WeirException.class, () -> PeerMessageCodec.decode(truncated));
  }

  /** Corrupted bytes are either decoded or rejected with a typed error; nothing else is thrown. */
  @Test(dataProvider = "messages")
  public void refusesOrReadsDamagedMessages(PeerMessage message) {
    Random random = new Random(SEED);
    byte[] encoded = PeerMessageCodec.encode(message);
    for (int round = 0; round < 3_000; round++) {
      byte[] corrupted = Arrays.copyOf(encoded, encoded.length + random.nextInt(4));
      corrupted[random.nextInt(encoded.length)] = (byte) random.nextInt();
      corrupted[random.nextInt(encoded.length)] = (byte) random.nextInt();
      try {
        PeerMessageCodec.decode(corrupted);
      } catch (WeirException failure) {
        assertEquals(failure.code(), ErrorCode.FRAME_INVALID);
      }
    }
  }
}
