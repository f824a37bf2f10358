package org.corianderweir.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.MembershipMessage.AgedRevision;
import org.corianderweir.protocol.MembershipMessage.AgedWord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PeerMessageCodec}. */
public class PeerMessageCodecTest {
  private static final long SEED = 11L;
  private static final EntryInstance INSTANCE =
      new EntryInstance("entry-1", "lagos", "lagos-1", "127.1.1.1", 1, 2, 3);

  @DataProvider
  public Object[][] messages() {
    Member member = new Member(INSTANCE, 7, InstanceState.SERVING, 9);
    ZoneSample sample = new ZoneSample("lagos-1", 12, List.of(member, member));
    AgedRevision revision = new AgedRevision(9, 250);
    return new Object[][] {
      {new MembershipMessage.Introduction(INSTANCE)},
      {
        new MembershipMessage.Heartbeat(
            3, 2, InstanceState.SERVING, 9, revision, AgedRevision.NONE, new HybridTimestamp(5, 6))
      },
      {new MembershipMessage.ZoneQuestion(8, sample)},
      {
        new MembershipMessage.ZoneAnswer(
            8, 9, revision, List.of(new AgedWord("kano-1", 3, 9, true, 400)), sample)
      },
      {new MembershipMessage.Sample(sample)},
      {new MembershipMessage.SamplesRequest()},
      {new ConfigurationMessage.Notice(4)},
      {new ConfigurationMessage.Request(4)},
      {new ConfigurationMessage.Offer(new ConfigurationHead(5, "entry-1/1", "ab"), "{}")},
      {new ConfigurationMessage.DocumentRequest("ab")},
      {new ConfigurationMessage.Document("[]")}
    };
  }

  @Test(dataProvider = "messages")
  public void decodesWhatItEncoded(PeerMessage message) {
    assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), message);
  }

  @Test(dataProvider = "messages")
  public void refusesTruncatedMessages(PeerMessage message) {
    byte[] whole = PeerMessageCodec.encode(message);
    byte[] truncated = Arrays.copyOf(whole, whole.length - 1);
    assertThrows(WeirException.class, () -> PeerMessageCodec.decode(truncated));
  }

  /** Generated damage is refused with a code or read as some message; nothing else is thrown. */
  @Test(dataProvider = "messages")
  public void refusesOrReadsDamagedMessages(PeerMessage message) {
    Random random = new Random(SEED);
    byte[] whole = PeerMessageCodec.encode(message);
    for (int round = 0; round < 3_000; round++) {
      byte[] damaged = Arrays.copyOf(whole, whole.length + random.nextInt(4));
      damaged[random.nextInt(whole.length)] = (byte) random.nextInt();
      damaged[random.nextInt(whole.length)] = (byte) random.nextInt();
      try {
        PeerMessageCodec.decode(damaged);
      } catch (WeirException refused) {
        assertEquals(refused.code(), ErrorCode.FRAME_INVALID);
      }
    }
  }
}
