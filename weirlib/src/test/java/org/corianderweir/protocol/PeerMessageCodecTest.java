package org.corianderweir.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PeerMessageCodec}. */
public class PeerMessageCodecTest {
  private static final EntryInstance INSTANCE =
      new EntryInstance("entry-1", "lagos", "lagos-1", "127.1.1.1", 1, 2, 3);

  @DataProvider
  public Object[][] messages() {
    return new Object[][] {
      {
        new MembershipMessage.Heartbeat(
            new Member(INSTANCE, 7, InstanceState.SERVING, 9), new HybridTimestamp(5, 6))
      },
      {new ConfigurationMessage.Request(4)},
      {new ConfigurationMessage.Offer(5, "{}")}
    };
  }

  @Test(dataProvider = "messages")
  public void decodesWhatItEncoded(PeerMessage message) {
    assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), message);
  }

  @Test(dataProvider = "messages")
  public void refusesTruncatedMessages(PeerMessage message) {
    byte[] whole = PeerMessageCodec.encode(message);
    byte[] truncated = java.util.Arrays.copyOf(whole, whole.length - 1);
    assertThrows(WeirException.class, () -> PeerMessageCodec.decode(truncated));
  }
}
