package org.corianderweir.bench.configuration;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.corianderweir.bench.platform.InMemoryPlatform;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.ConfigurationStore;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link ConfigurationService} on a platform whose writes fail at each step of a change.
 */
public class ConfigurationServiceTest {
  private static final int WRITES_PER_CHANGE = 9;

  private final TimeSource time = new SystemTimeSource();

  /** Creates a service whose accepted changes come into force immediately. */
  private ConfigurationService service(PlatformService platform) {
    ConfigurationService service =
        new ConfigurationService(
            new ConfigurationStore(platform), new EventLog("entry-1", time), time);
    service.setChangeGuardAndListener(
        () -> true, bundle -> service.putInForce(bundle, content(bundle)));
    return service;
  }

  private static Configuration content(ConfigurationBundle bundle) {
    return ConfigurationDocuments.assemble(
        bundle.index(), hash -> Optional.ofNullable(bundle.documentsByHash().get(hash)));
  }

  private static ConfigurationChange replaceWith(String organisation) {
    return new ConfigurationChange.Replace(
        Configuration.builder()
            .organisations(List.of(new Organisation(organisation, 10, 5, 0)))
            .build());
  }

  private static String outcome(CompletableFuture<Long> change) {
    try {
      return "revision " + change.join();
    } catch (CompletionException failure) {
      return ((WeirException) failure.getCause()).code().name();
    }
  }

  private static List<String> operations(InMemoryPlatform platform) {
    ConfigurationStore store = new ConfigurationStore(platform);
    Optional<ConfigurationHead> head = store.readHead().join().head();
    if (head.isEmpty()) {
      return List.of();
    }
    ConfigurationBundle bundle = store.load(head.get(), hash -> Optional.empty()).join();
    List<String> operations = new ArrayList<>(List.of(bundle.index().change().operation()));
    bundle.index().history().forEach(past -> operations.add(past.change().operation()));
    return operations;
  }

  /** Every fault at every write of a change, for one write and for all writes from there on. */
  @DataProvider
  public Object[][] faults() {
    List<Object[]> rows = new ArrayList<>();
    for (WriteFaultPlatform.Fault fault : WriteFaultPlatform.Fault.values()) {
      for (int first = 1; first <= WRITES_PER_CHANGE; first++) {
        rows.add(new Object[] {fault, first, 1});
        rows.add(new Object[] {fault, first, Integer.MAX_VALUE - first});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "faults")
  public void whatIsToldIsTrueAndRepeatingMakesTheChangeOnce(
      WriteFaultPlatform.Fault fault, int first, int count) {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    String reported =
        outcome(
            service(new WriteFaultPlatform(platform, fault, first, count))
                .change(0, replaceWith("adebayo"), "operation-1"));
    List<String> operationsAfter = operations(platform);
    boolean truthful =
        switch (reported) {
          case "revision 1" -> operationsAfter.equals(List.of("operation-1"));
          case "OUTCOME_UNKNOWN" -> true;
          default -> operationsAfter.isEmpty();
        };
    String retried = outcome(service(platform).change(0, replaceWith("adebayo"), "operation-1"));
    assertEquals(
        List.of(truthful, retried, operations(platform)),
        List.of(true, "revision 1", List.of("operation-1")),
        reported);
  }

  @Test
  public void conflictNamesBothChanges() {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    service(platform).change(0, replaceWith("adebayo"), "operation-1").join();
    CompletableFuture<Long> second =
        service(platform).change(0, replaceWith("huron"), "operation-2");
    String message = "";
    try {
      second.join();
    } catch (CompletionException failure) {
      message = String.valueOf(failure.getCause().getMessage());
    }
    assertEquals(
        message,
        "current is revision 1 by operation operation-1 (organisation adebayo added);"
            + " refused is operation operation-2"
            + " (organisation huron added, organisation adebayo removed)");
  }

  @Test
  public void invalidConfigurationWritesNothing() {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    ConfigurationChange zeroRate =
        new ConfigurationChange.Replace(
            Configuration.builder()
                .organisations(List.of(new Organisation("adebayo", 0, 5, 0)))
                .build());
    assertEquals(
        List.of(outcome(service(platform).change(0, zeroRate, "operation-1")), platform.keys()),
        List.of(ErrorCode.CONFIGURATION_INVALID.name(), List.of()));
  }

  /**
   * Two operators change the configuration through instances that share only the platform. A change
   * that is based on an outdated revision must not overwrite an accepted one.
   */
  @Test
  public void racingOperatorsLoseNoAcceptedChange() {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    List<ConfigurationService> services = List.of(service(platform), service(platform));
    List<String> accepted = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      ConfigurationService service = services.get(number * 7 % 3 % 2);
      long expected = service.inForce().revision();
      String operation = "operation-" + number;
      String reported = outcome(service.change(expected, replaceWith("name-" + number), operation));
      if (reported.startsWith("revision")) {
        accepted.addFirst(operation);
      } else {
        loadLatest(platform, service);
      }
    }
    assertEquals(operations(platform), accepted);
  }

  private static void loadLatest(InMemoryPlatform platform, ConfigurationService service) {
    ConfigurationStore store = new ConfigurationStore(platform);
    ConfigurationHead head = store.readHead().join().head().orElseThrow();
    ConfigurationBundle bundle = store.load(head, hash -> Optional.empty()).join();
    service.putInForce(bundle, content(bundle));
  }

  @Test
  public void unusedDocumentsAreDeletedAndHistoryIsReadable() {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    ConfigurationService service = service(platform);
    for (int number = 0; number < 60; number++) {
      service.change(number, replaceWith("name-" + number), "operation-" + number).join();
    }
    List<AcceptedChange> history = service.history();
    List<String> names =
        history.stream()
            .map(change -> service.revision(change.revision()).join())
            .map(configuration -> configuration.organisations().getFirst().name())
            .toList();
    assertEquals(names.getLast(), "name-39");
    assertEquals(names.size(), 21);
    assertEquals(platform.keys().size() <= 45, true, "keys " + platform.keys().size());
  }

  @Test
  public void summarizesDifferenceOfTwoRevisions() {
    InMemoryPlatform platform = new InMemoryPlatform(time);
    ConfigurationService service = service(platform);
    service.change(0, replaceWith("adebayo"), "operation-1").join();
    service.change(1, replaceWith("huron"), "operation-2").join();
    assertEquals(
        service.difference(1, 2).join().summary(),
        "organisation huron added, organisation adebayo removed");
  }
}
