package org.corianderweir.http;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link BodyBuffer} and {@link BufferBudget}. */
public class BodyBufferTest {
  private static final int MEBIBYTE = 1024 * 1024;

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 1}, {1, 5_000}, {7, 300_000}, {200_000, 1_000_000}, {9, 9}};
  }

  @Test(dataProvider = "sizes")
  public void bodyIsWhatWasAdded(int partBytes, int bodyBytes) {
    BodyBuffer buffer = new BodyBuffer(MEBIBYTE, new BufferBudget(2 * MEBIBYTE));
    byte[] expected = new byte[bodyBytes];
    for (int start = 0; start < bodyBytes; start += partBytes) {
      byte[] part = new byte[Math.min(partBytes, bodyBytes - start)];
      for (int index = 0; index < part.length; index++) {
        part[index] = (byte) (start + index);
        expected[start + index] = part[index];
      }
      assertEquals(buffer.add(part), BodyBuffer.Addition.ADDED);
    }
    assertEquals(buffer.toByteArray(), expected);
  }

  @Test
  public void bodyAboveItsLimitIsRefused() {
    BodyBuffer buffer = new BodyBuffer(10, new BufferBudget(MEBIBYTE));
    assertEquals(
        List.of(buffer.add(new byte[10]), buffer.add(new byte[1])),
        List.of(BodyBuffer.Addition.ADDED, BodyBuffer.Addition.BODY_TOO_LARGE));
  }

  /** Bodies that hold the whole budget must not keep others of usual size from being read. */
  @Test
  public void budgetBoundsLargeBodiesTogetherAndNoSmallOne() {
    BufferBudget budget = new BufferBudget(2 * MEBIBYTE);
    List<BodyBuffer.Addition> large = new ArrayList<>();
    List<BodyBuffer> buffers = new ArrayList<>();
    for (int body = 0; body < 4; body++) {
      buffers.add(new BodyBuffer(MEBIBYTE, budget));
      large.add(buffers.getLast().add(new byte[MEBIBYTE]));
    }
    BodyBuffer.Addition small = new BodyBuffer(MEBIBYTE, budget).add(new byte[60_000]);
    buffers.forEach(BodyBuffer::release);
    BodyBuffer.Addition afterRelease = new BodyBuffer(MEBIBYTE, budget).add(new byte[MEBIBYTE]);
    assertEquals(
        List.of(large, small, afterRelease),
        List.of(
            List.of(
                BodyBuffer.Addition.ADDED,
                BodyBuffer.Addition.ADDED,
                BodyBuffer.Addition.BUDGET_EXHAUSTED,
                BodyBuffer.Addition.BUDGET_EXHAUSTED),
            BodyBuffer.Addition.ADDED,
            BodyBuffer.Addition.ADDED));
  }
}
