package org.corianderweir.bench.metadata;

/** Creates values in the form in which operators and servers write them to the store. */
public final class StoreValues {
  private StoreValues() {}

  /**
   * Returns a configuration with one service, one organisation with the key {@code key-1} and two
   * routes of the host {@code rota.example}: {@code /read/} is idempotent, {@code /book/} is not.
   */
  public static String configuration(long version, double requestsPerSecond) {
    return """
        {"version":%d,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs",
        "targetLatencyMs","priority","backends","maxAttempts","public","sticky","allowedRegions",
        "service"],"rows":[
        ["read","rota.example","/read/","safe",2000,600,1,null,2,false,true,[],"desk"],
        ["book","rota.example","/book/","unsafe",2000,600,0,null,2,false,true,[],"desk"]]},
        "services":{"columns":["name","healthPath","maxConns","protocol","tls","coldStartS",
        "coldPerS"],"rows":[["desk","/health",660,"h1",false,3.0,9.0]]},
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","allowedRegions"],
        "rows":[["club",["key-1"],1,%s,%s,[]]]}}"""
        .formatted(version, requestsPerSecond, requestsPerSecond);
  }

  /**
   * Returns a configuration with the kinds of requests of the customers with large requests. In
   * addition to {@link #configuration} it has the routes {@code /upload/} and {@code /export/}, and
   * an organisation with the key {@code key-2} and a limit of its own.
   *
   * @param limitPerSecond rate limit in requests a second, and burst in requests, of the added
   *     organisation
   */
  public static String largeRequestConfiguration(
      long version, double requestsPerSecond, int limitPerSecond) {
    String added =
        """
        ["upload","rota.example","/upload/","upload",2000,1200,2,null,2,false,true,[],"desk"],
        ["export","rota.example","/export/","download",2000,1200,2,null,2,false,true,[],"desk"],
        ["read",\
        """;
    return configuration(version, requestsPerSecond)
        .replace("[\"read\",", added)
        .replace(
            "[[\"club\",",
            "[[\"guests\",[\"key-2\"],1,%d,%d,[]],[\"club\","
                .formatted(limitPerSecond, limitPerSecond));
  }

  /** Returns the entry of a backend server of the service {@code desk}. */
  public static String server(String address, String zone, String state) {
    return """
        {"address":"%s","born":1780000000000,
        "info":{"service":"desk","version":"v1","zone":"%s","slots":3},
        "status":{"state":"%s","seq":1,"coldRemainingMs":0}}"""
        .formatted(address, zone, state);
  }
}
