package org.corianderweir.examples.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.corianderweir.logic.limits.AddressedMessage;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.FleetLimits;
import org.corianderweir.logic.limits.Lender;
import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.SlotLayout;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotAction;
import org.corianderweir.logic.limits.slots.SlotHolder;

/**
 * Shows how to embed fleet-wide limits. Three processes of a print shop share a limit of 90 pages
 * per second. In this example they run in one program, exchange messages through a queue and store
 * the register of slots in a field. All demand arrives at the first process.
 */
public final class EmbeddedLimits {
  private static final String LIMIT_NAME = "pages";
  private static final String ZONE_NAME = "print-shop";
  private static final int PRINTER_COUNT = 3;
  private static final long TICK_NANOSECONDS = 20_000_000L;
  private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
  private static final int RUN_SECONDS = 10;
  private static final int PAGES_PER_TICK = 2;

  private final List<SlotHolder> printers = new ArrayList<>();
  private final List<FleetLimits> limits = new ArrayList<>();
  private final Deque<Runnable> messageQueue = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private CellView register = new CellView(0, CellRegister.free(PRINTER_COUNT));

  private EmbeddedLimits() {
    SlotLayout layout = new SlotLayout(List.of(ZONE_NAME), PRINTER_COUNT);
    for (int printer = 0; printer < PRINTER_COUNT; printer++) {
      SlotHolder holder = new SlotHolder("printer-" + printer, "127.0.0.1", 9_000 + printer, 1);
      FleetLimits printerLimits = new FleetLimits(holder, ZONE_NAME, layout, 0);
      printerLimits.defineRate(LIMIT_NAME, new Allowance(90, 30), 0);
      printers.add(holder);
      limits.add(printerLimits);
    }
  }

  /** Simulates ten seconds and prints the number of admitted pages. */
  public static void main(String[] arguments) {
    System.out.println("admitted pages: " + new EmbeddedLimits().run());
  }

  private int run() {
    int admitted = 0;
    for (long now = 0; now < RUN_SECONDS * NANOSECONDS_PER_SECOND; now += TICK_NANOSECONDS) {
      for (int printer = 0; printer < PRINTER_COUNT; printer++) {
        perform(printer, limits.get(printer).tick(lenders(printer), now, random), now);
      }
      while (!messageQueue.isEmpty()) {
        messageQueue.remove().run();
      }
      AdmissionController admissionController =
          limits.getFirst().admissionController(LIMIT_NAME).orElseThrow();
      for (int page = 0; page < PAGES_PER_TICK; page++) {
        admitted += admissionController.tryAdmit(now) ? 1 : 0;
      }
    }
    return admitted;
  }

  private List<Lender> lenders(int printer) {
    return printers.stream()
        .filter(other -> !other.equals(printers.get(printer)))
        .map(other -> new Lender(other.instance(), true))
        .toList();
  }

  private void perform(int printer, FleetLimits.Actions actions, long now) {
    for (AddressedMessage<LoanMessage> loan : actions.loans()) {
      int receiver = Integer.parseInt(loan.target().substring("printer-".length()));
      String sender = printers.get(printer).instance();
      messageQueue.add(
          () -> perform(receiver, limits.get(receiver).receive(sender, loan.message(), now), now));
    }
    for (SlotAction action : actions.slots()) {
      switch (action) {
        case SlotAction.Send send -> {
          int receiver = printers.indexOf(send.target());
          messageQueue.add(
              () -> perform(receiver, limits.get(receiver).receive(send.message(), now), now));
        }
        case SlotAction.ReadRegister read -> limits.get(printer).registerStored(register, now);
        case SlotAction.WriteRegister write -> writeRegister(printer, write, now);
      }
    }
  }

  private void writeRegister(int printer, SlotAction.WriteRegister write, long now) {
    if (write.expectedVersion() != register.version()) {
      limits.get(printer).member().registerConflict();
      return;
    }
    register = new CellView(register.version() + 1, write.register());
    limits.get(printer).registerStored(register, now);
  }
}
