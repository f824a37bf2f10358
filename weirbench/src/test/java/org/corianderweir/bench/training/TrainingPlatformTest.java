package org.corianderweir.bench.training;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a recording of classes in which no request is served. */
public final class TrainingPlatformTest {
  @DataProvider
  Object[][] keys() {
    return new Object[][] {{"op/config"}, {"servers/server-0"}, {"servers/server-1"}};
  }

  @Test(dataProvider = "keys")
  public void storeHoldsWhatServingNeeds(String key) throws IOException, InterruptedException {
    try (TrainingPlatform platform = new TrainingPlatform(0);
        HttpClient client = HttpClient.newHttpClient()) {
      platform.start();
      URI listing =
          URI.create("http://127.0.0.1:" + platform.storePort() + "/api/kv-range?pathPrefix=");
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(listing).build(), HttpResponse.BodyHandlers.ofString());
      assertEquals(response.statusCode(), 200);
      assertTrue(response.body().contains('"' + key + '"'), response.body());
      assertEquals(platform.executedRequestCount(), 0);
    }
  }
}
