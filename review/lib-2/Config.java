import java.util.ArrayList;
import java.util.List;

/** Writes configurations as the operator does. */
final class Config {
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();
  private final long version;

  Config(long version) {
    this.version = version;
  }

  Config route(String name, String prefix, String kind, int timeout, int target, int priority,
      String service, int attempts, boolean sticky) {
    routes.add(
        "[\"%s\",\"shop.example\",\"%s\",\"%s\",%d,%d,%d,null,%d,false,%b,[],\"%s\"]"
            .formatted(
                name, prefix, kind, timeout, target, priority, attempts, sticky, service));
    return this;
  }

  Config service(String name) {
    services.add("[\"%s\",\"/health\",660,\"h1\",false,3.0,2.9]".formatted(name));
    return this;
  }

  Config tenant(String name, String key) {
    tenants.add("[\"%s\",[\"%s\"],1,0,0,[]]".formatted(name, key));
    return this;
  }

  String json() {
    return ("{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
            + "\"timeoutMs\",\"targetLatencyMs\",\"priority\",\"backends\",\"maxAttempts\","
            + "\"public\",\"sticky\",\"allowedRegions\",\"service\"],\"rows\":[%s]},"
            + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\","
            + "\"tls\",\"coldStartS\",\"coldPerS\"],\"rows\":[%s]},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
            + "\"burst\",\"allowedRegions\"],\"rows\":[%s]}}")
        .formatted(
            version,
            String.join(",", routes),
            String.join(",", services),
            String.join(",", tenants));
  }
}
