package io.jacinthquay.decision.clients;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Chooses the connections to close when something that all clients share is short.
 *
 * <p>Load pattern: many clients send most of a head or body, or read nothing, and then keep their
 * connection open, while ordinary clients send whole requests within milliseconds. Connections that
 * have stalled go first, then the others; of each, first those of an address that holds more than
 * its share, and the slowest before the faster ones. Where all clients share one address, only
 * their speed decides.
 */
public final class SlowestHolders {
  /**
   * Pauses are compared in steps of this many milliseconds: ordinary clients pause for as long when
   * a packet is lost and sent again.
   */
  private static final long PAUSE_STEP_MILLIS = 250;

  /** Pause from which a connection counts as stalled; a lost packet is sent again before. */
  private static final long STALL_MILLIS = 1_000;

  private final double peerShare;

  /**
   * Returns a decision.
   *
   * @param peerShare the part of the whole that one address may hold while the whole is short, 0 to
   *     1
   * @throws IllegalArgumentException if the share is out of range
   */
  public SlowestHolders(double peerShare) {
    if (!(peerShare >= 0 && peerShare <= 1)) {
      throw new IllegalArgumentException("share must be from 0 to 1: " + peerShare);
    }
    this.peerShare = peerShare;
  }

  /**
   * Returns the holdings to give up, in order, until enough is free.
   *
   * @param holdings what may be given up
   * @param whole the bound on all holdings
   * @param needed how much must become free, in the same unit
   */
  public <C> List<ClientHolding<C>> choose(
      List<ClientHolding<C>> holdings, long whole, long needed) {
    return choose(holdings, whole, needed, false);
  }

  /** Returns the same, but only holdings of addresses that hold more than their share. */
  public <C> List<ClientHolding<C>> chooseAboveShare(
      List<ClientHolding<C>> holdings, long whole, long needed) {
    return choose(holdings, whole, needed, true);
  }

  private <C> List<ClientHolding<C>> choose(
      List<ClientHolding<C>> holdings, long whole, long needed, boolean onlyAboveShare) {
    Choice<C> choice = new Choice<>(holdings, peerShare * whole, needed, onlyAboveShare);
    Comparator<ClientHolding<C>> slowestFirst =
        Comparator.comparingLong((ClientHolding<C> h) -> -h.idleMillis() / PAUSE_STEP_MILLIS)
            .thenComparingDouble(ClientHolding::rate);
    Map<Boolean, List<ClientHolding<C>>> byStall =
        holdings.stream()
            .filter(holding -> holding.held() > 0)
            .sorted(slowestFirst)
            .collect(Collectors.partitioningBy(h -> h.idleMillis() >= STALL_MILLIS));
    choice.addFrom(byStall.get(true));
    choice.addFrom(byStall.get(false));
    return choice.chosen;
  }

  private static final class Choice<C> {
    private final List<ClientHolding<C>> chosen = new ArrayList<>();
    private final Map<Object, Long> heldByPeer = new HashMap<>();
    private final double maxOfPeer;
    private final boolean onlyAboveShare;
    private long missing;

    Choice(List<ClientHolding<C>> holdings, double maxOfPeer, long needed, boolean onlyAboveShare) {
      this.onlyAboveShare = onlyAboveShare;
      this.maxOfPeer = maxOfPeer;
      this.missing = needed;
      holdings.forEach(holding -> heldByPeer.merge(holding.peer(), holding.held(), Long::sum));
    }

    void addFrom(List<ClientHolding<C>> ordered) {
      List<ClientHolding<C>> withinShare = new ArrayList<>();
      for (ClientHolding<C> holding : ordered) {
        if (heldByPeer.get(holding.peer()) > maxOfPeer) {
          add(holding);
        } else {
          withinShare.add(holding);
        }
      }
      if (!onlyAboveShare) {
        withinShare.forEach(this::add);
      }
    }

    private void add(ClientHolding<C> holding) {
      if (missing > 0) {
        chosen.add(holding);
        missing -= holding.held();
        heldByPeer.merge(holding.peer(), -holding.held(), Long::sum);
      }
    }
  }
}
