package org.corianderweir.logic.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares {@link CapacityAdmission} with first come first served under each load. */
public class AdmissionLoadTest {
  private static final long[] SEEDS = {1, 2, 3};

  /** An organisation or a class that is served less often than this part counts as starved. */
  private static final double STARVED_RATIO = 0.25;

  /** Difference between the served parts of two classes that chance alone causes. */
  private static final double CHANCE_RATIO = 0.03;

  @DataProvider
  public Object[][] loads() {
    List<Object[]> loads = new ArrayList<>();
    for (AdmissionLoad load : AdmissionLoad.values()) {
      if (load != AdmissionLoad.ROOM_FOR_ALL) {
        loads.add(new Object[] {load, true});
        loads.add(new Object[] {load, false});
      }
    }
    return loads.toArray(Object[][]::new);
  }

  /**
   * Servers' queues filled with requests that were then late, and the least urgent requests took
   * places of the most urgent ones.
   */
  @Test(dataProvider = "loads")
  public void admissionEarnsMoreThanFirstComeFirstServed(AdmissionLoad load, boolean sharing) {
    AdmissionTable allFirst = new AdmissionTable();
    AdmissionTable allAdmission = new AdmissionTable();
    for (long seed : SEEDS) {
      AdmissionTable first = new AdmissionModel(load, false, sharing, seed).run();
      AdmissionTable admission = new AdmissionModel(load, true, sharing, seed).run();
      allFirst.add(first);
      allAdmission.add(admission);
      String title = load + " seed " + seed;
      assertTrue(admission.credit() > first.credit(), title);
      assertTrue(
          admission.row("class 0").credit() >= first.row("class 0").credit(),
          title + ": the most urgent class");
      assertNobodyStarves(admission, title);
    }
    String title = load + (sharing ? ", shared" : ", own") + " reports: ";
    System.out.print(allFirst.lines(title + "FCFS") + allAdmission.lines(title + "admission"));
  }

  private static void assertNobodyStarves(AdmissionTable table, String title) {
    double floor = STARVED_RATIO * table.row("all").served();
    double moreUrgent = 1;
    for (int priority = 0; priority < AdmissionModel.CLASSES; priority++) {
      double served = table.row("class " + priority).served();
      assertTrue(served >= floor, title + " class " + priority);
      assertTrue(served <= moreUrgent + CHANCE_RATIO, title + " class " + priority);
      moreUrgent = served;
    }
    table.organisations().forEach(row -> assertTrue(row.served() >= floor, title));
  }

  /** Requests were rejected or held although servers had free slots. */
  @Test
  public void nothingChangesWhileServersHaveRoom() {
    for (long seed : SEEDS) {
      AdmissionTable first =
          new AdmissionModel(AdmissionLoad.ROOM_FOR_ALL, false, true, seed).run();
      AdmissionTable admission =
          new AdmissionModel(AdmissionLoad.ROOM_FOR_ALL, true, true, seed).run();
      assertEquals(admission.lines(""), first.lines(""));
    }
  }
}
