package org.corianderweir.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Label;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Json}. */
public class JsonTest {
  private static final AvailabilityZone ZONE =
      new AvailabilityZone("lagos-1", "lagos", List.of(new Label("tier", "gold")));

  @Test
  public void readsWhatItWrote() {
    assertEquals(Json.read(Json.write(ZONE), AvailabilityZone.class), ZONE);
  }

  @DataProvider
  public Object[][] invalidTexts() {
    return new Object[][] {
      {""},
      {"null"},
      {"[]"},
      {"{\"name\":\"lagos-1\",\"region\":\"lagos\"}"},
      {"{\"name\":\"lagos-1\",\"region\":null,\"labels\":[]}"},
      {"{\"name\":\"lagos-1\",\"region\":\"lagos\",\"labels\":null}"},
      {"{\"name\":\"lagos-1\",\"region\":\"lagos\",\"labels\":[],\"more\":1}"},
      {"{\"name\":\"lagos-1\",\"region\":\"lagos\",\"labels\":[]} {}"}
    };
  }

  @Test(dataProvider = "invalidTexts")
  public void rejectsInvalidTexts(String text) {
    WeirException failure =
        expectThrows(WeirException.class, () -> Json.read(text, AvailabilityZone.class));
    assertEquals(failure.code(), ErrorCode.JSON_INVALID);
  }
}
