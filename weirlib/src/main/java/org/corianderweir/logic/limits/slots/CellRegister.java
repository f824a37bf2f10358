package org.corianderweir.logic.limits.slots;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The slots of a cell, as stored in the platform's store. A cell is a group of slots of one
 * availability zone whose number never changes.
 *
 * @param holders holder of each slot; empty if the slot is free
 * @param everHeld slots that have had a holder at any time, in ascending order
 */
public record CellRegister(List<Optional<SlotHolder>> holders, List<Integer> everHeld) {
  /** Copies the lists. */
  public CellRegister {
    holders = List.copyOf(holders);
    everHeld = List.copyOf(everHeld);
  }

  /** Returns a register of free slots. */
  public static CellRegister free(int slots) {
    List<Optional<SlotHolder>> holders = new ArrayList<>();
    for (int slot = 0; slot < slots; slot++) {
      holders.add(Optional.empty());
    }
    return new CellRegister(holders, List.of());
  }

  /** Returns the smallest number of slots that is more than half of all. */
  public int majority() {
    return holders.size() / 2 + 1;
  }

  /** Returns the slots that a holder has. */
  public List<Integer> slotsOf(SlotHolder holder) {
    return matching(Optional.of(holder));
  }

  /** Returns the free slots. */
  public List<Integer> freeSlots() {
    return matching(Optional.empty());
  }

  /** Returns the holders without duplicates. */
  public List<SlotHolder> distinctHolders() {
    return holders.stream().flatMap(Optional::stream).distinct().toList();
  }

  /** Returns a copy of the register in which some slots have another holder or are free. */
  public CellRegister with(List<Integer> slots, Optional<SlotHolder> holder) {
    List<Optional<SlotHolder>> changed = new ArrayList<>(holders);
    slots.forEach(slot -> changed.set(slot, holder));
    List<Integer> held =
        Stream.concat(everHeld.stream(), slots.stream()).distinct().sorted().toList();
    return new CellRegister(changed, held);
  }

  private List<Integer> matching(Optional<SlotHolder> wanted) {
    List<Integer> slots = new ArrayList<>();
    for (int slot = 0; slot < holders.size(); slot++) {
      if (holders.get(slot).equals(wanted)) {
        slots.add(slot);
      }
    }
    return slots;
  }
}
