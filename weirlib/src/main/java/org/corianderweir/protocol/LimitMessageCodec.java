package org.corianderweir.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.LendableSlice;
import org.corianderweir.logic.limits.LoanIdentifier;
import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.limits.slots.SlotMessage;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes limit messages: the type number, followed by the fields in a fixed order. The
 * type numbers are 40 to 59.
 */
final class LimitMessageCodec {
  /** Smallest type number of this codec. */
  static final int FIRST_TYPE = 40;

  /** Largest type number of this codec. */
  static final int LAST_TYPE = 59;

  private static final int LOAN_REQUEST = 40;
  private static final int LOAN_GRANT = 41;
  private static final int LOAN_RENEWAL_REQUEST = 42;
  private static final int LOAN_RENEWAL_CONFIRMATION = 43;
  private static final int LOAN_RETURN = 44;
  private static final int SLOT_PROBE = 50;
  private static final int SLOT_CONFIRMATION = 51;
  private static final int SLOT_VOTE_REQUEST = 52;
  private static final int SLOT_VOTE = 53;
  private static final int SLOT_HANDOVER_REQUEST = 54;
  private static final int MAXIMUM_LIST_LENGTH = 1_000;

  private LimitMessageCodec() {}

  static void pack(MessageBufferPacker packer, LimitMessage message) throws IOException {
    switch (message) {
      case LimitMessage.Loan loan -> packLoan(packer, loan.message());
      case LimitMessage.Slot slot -> packSlot(packer, slot.message());
    }
  }

  static LimitMessage unpack(int type, MessageUnpacker unpacker) throws IOException {
    return type < SLOT_PROBE
        ? new LimitMessage.Loan(unpackLoan(type, unpacker))
        : new LimitMessage.Slot(unpackSlot(type, unpacker));
  }

  private static void packLoan(MessageBufferPacker packer, LoanMessage message) throws IOException {
    packer.packInt(
        switch (message) {
          case LoanMessage.Request request -> LOAN_REQUEST;
          case LoanMessage.Grant grant -> LOAN_GRANT;
          case LoanMessage.RenewalRequest request -> LOAN_RENEWAL_REQUEST;
          case LoanMessage.RenewalConfirmation confirmation -> LOAN_RENEWAL_CONFIRMATION;
          case LoanMessage.Return returned -> LOAN_RETURN;
        });
    LoanIdentifier loan = message.loan();
    packer.packString(loan.borrower()).packLong(loan.incarnation()).packLong(loan.sequence());
    packer.packString(message.limit());
    switch (message) {
      case LoanMessage.Request request -> {
        packAllowance(packer, request.maximum());
        packer.packLong(request.lifetimeNanoseconds());
      }
      case LoanMessage.Grant grant -> {
        packAllowance(packer, grant.amount().allowance());
        packer.packDouble(grant.amount().tokens());
        packAllowance(packer, grant.surplus());
      }
      case LoanMessage.RenewalRequest request ->
          packer.packLong(request.attempt()).packLong(request.lifetimeNanoseconds());
      case LoanMessage.RenewalConfirmation confirmation -> packer.packLong(confirmation.attempt());
      case LoanMessage.Return returned -> packer.packDouble(returned.tokens());
    }
  }

  private static LoanMessage unpackLoan(int type, MessageUnpacker unpacker) throws IOException {
    LoanIdentifier loan =
        new LoanIdentifier(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong());
    String limit = unpacker.unpackString();
    return switch (type) {
      case LOAN_REQUEST ->
          new LoanMessage.Request(loan, limit, unpackAllowance(unpacker), unpacker.unpackLong());
      case LOAN_GRANT ->
          new LoanMessage.Grant(
              loan,
              limit,
              new LendableSlice.LoanAmount(unpackAllowance(unpacker), unpackAmount(unpacker)),
              unpackAllowance(unpacker));
      case LOAN_RENEWAL_REQUEST ->
          new LoanMessage.RenewalRequest(loan, limit, unpacker.unpackLong(), unpacker.unpackLong());
      case LOAN_RENEWAL_CONFIRMATION ->
          new LoanMessage.RenewalConfirmation(loan, limit, unpacker.unpackLong());
      case LOAN_RETURN -> new LoanMessage.Return(loan, limit, unpackAmount(unpacker));
      default -> throw unknownType(type);
    };
  }

  private static void packSlot(MessageBufferPacker packer, SlotMessage message) throws IOException {
    packer.packInt(
        switch (message) {
          case SlotMessage.Probe probe -> SLOT_PROBE;
          case SlotMessage.Confirmation confirmation -> SLOT_CONFIRMATION;
          case SlotMessage.VoteRequest request -> SLOT_VOTE_REQUEST;
          case SlotMessage.Vote vote -> SLOT_VOTE;
          case SlotMessage.HandoverRequest request -> SLOT_HANDOVER_REQUEST;
        });
    packHolder(packer, message.sender());
    switch (message) {
      case SlotMessage.Probe probe -> {
        packer.packLong(probe.sentNanoseconds());
        packView(packer, probe.view());
      }
      case SlotMessage.Confirmation confirmation -> {
        packer.packLong(confirmation.echoedNanoseconds());
        packView(packer, confirmation.view());
        packer.packArrayHeader(confirmation.votedAgainst().size());
        for (SlotHolder holder : confirmation.votedAgainst()) {
          packHolder(packer, holder);
        }
      }
      case SlotMessage.VoteRequest request -> {
        packHolder(packer, request.suspect());
        packer.packLong(request.version());
      }
      case SlotMessage.Vote vote -> {
        packHolder(packer, vote.suspect());
        packer.packLong(vote.version());
      }
      case SlotMessage.HandoverRequest request -> {
        // The sender, which is already packed, is the only field.
      }
    }
  }

  private static SlotMessage unpackSlot(int type, MessageUnpacker unpacker) throws IOException {
    SlotHolder sender = unpackHolder(unpacker);
    return switch (type) {
      case SLOT_PROBE -> new SlotMessage.Probe(sender, unpacker.unpackLong(), unpackView(unpacker));
      case SLOT_CONFIRMATION ->
          new SlotMessage.Confirmation(
              sender, unpacker.unpackLong(), unpackView(unpacker), unpackHolders(unpacker));
      case SLOT_VOTE_REQUEST ->
          new SlotMessage.VoteRequest(sender, unpackHolder(unpacker), unpacker.unpackLong());
      case SLOT_VOTE -> new SlotMessage.Vote(sender, unpackHolder(unpacker), unpacker.unpackLong());
      case SLOT_HANDOVER_REQUEST -> new SlotMessage.HandoverRequest(sender);
      default -> throw unknownType(type);
    };
  }

  private static void packAllowance(MessageBufferPacker packer, Allowance allowance)
      throws IOException {
    packer.packDouble(allowance.rate()).packDouble(allowance.capacity());
  }

  private static Allowance unpackAllowance(MessageUnpacker unpacker) throws IOException {
    return new Allowance(unpackAmount(unpacker), unpackAmount(unpacker));
  }

  private static double unpackAmount(MessageUnpacker unpacker) throws IOException {
    double amount = unpacker.unpackDouble();
    if (!(amount >= 0) || Double.isInfinite(amount)) {
      throw new WeirException(
          ErrorCode.FRAME_INVALID, "amount is not a finite, non-negative number: " + amount);
    }
    return amount;
  }

  private static void packHolder(MessageBufferPacker packer, SlotHolder holder) throws IOException {
    packer.packString(holder.instance()).packString(holder.host());
    packer.packInt(holder.peerPort()).packLong(holder.incarnation());
  }

  private static SlotHolder unpackHolder(MessageUnpacker unpacker) throws IOException {
    return new SlotHolder(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackInt(),
        unpacker.unpackLong());
  }

  private static List<SlotHolder> unpackHolders(MessageUnpacker unpacker) throws IOException {
    int count = unpackListLength(unpacker);
    List<SlotHolder> holders = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      holders.add(unpackHolder(unpacker));
    }
    return holders;
  }

  private static void packView(MessageBufferPacker packer, CellView view) throws IOException {
    packer.packLong(view.version());
    packer.packArrayHeader(view.register().holders().size());
    for (Optional<SlotHolder> holder : view.register().holders()) {
      packer.packBoolean(holder.isPresent());
      if (holder.isPresent()) {
        packHolder(packer, holder.get());
      }
    }
    packer.packArrayHeader(view.register().everHeld().size());
    for (int slot : view.register().everHeld()) {
      packer.packInt(slot);
    }
  }

  private static CellView unpackView(MessageUnpacker unpacker) throws IOException {
    long version = unpacker.unpackLong();
    int count = unpackListLength(unpacker);
    List<Optional<SlotHolder>> holders = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      boolean present = unpacker.unpackBoolean();
      holders.add(present ? Optional.of(unpackHolder(unpacker)) : Optional.empty());
    }
    int everHeldCount = unpackListLength(unpacker);
    List<Integer> everHeld = new ArrayList<>(everHeldCount);
    for (int index = 0; index < everHeldCount; index++) {
      everHeld.add(unpacker.unpackInt());
    }
    return new CellView(version, new CellRegister(holders, everHeld));
  }

  private static int unpackListLength(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAXIMUM_LIST_LENGTH) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "list is too long: " + count);
    }
    return count;
  }

  private static WeirException unknownType(int type) {
    return new WeirException(ErrorCode.FRAME_INVALID, "unknown limit message type " + type);
  }
}
