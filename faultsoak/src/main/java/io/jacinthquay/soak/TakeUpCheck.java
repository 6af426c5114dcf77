package io.jacinthquay.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Checks that of the streams that callers take up at routers in touch, while two upstreams of their
 * version serve, the share that goes on is at least half of the share of new streams that begin.
 */
final class TakeUpCheck implements Check {
  /** Fewest take-ups of a run that are judged. */
  static final int MIN_TAKE_UPS = 12;

  private static final int MIN_UPSTREAMS = 2;

  /** Time in which the control VMs and routers follow a change of the list or of its upstreams. */
  private static final long FOLLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  @Override
  public String guarantee() {
    return "streams that are taken up go on half as often as new ones begin";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Circumstances circumstances = new Circumstances(history);
    int takenUp = 0;
    int goneOn = 0;
    int fresh = 0;
    int begun = 0;
    for (List<Call> tries : history.streams().values()) {
      for (Call call : tries) {
        if (!call.kind().isResumable() || leftEarly(call) || !circumstances.areCalm(call)) {
          continue;
        }
        if (call.takeUp().isEmpty()) {
          fresh++;
          begun += brings(call) ? 1 : 0;
        } else if (isProper(call) && circumstances.versionServes(call, tries)) {
          takenUp++;
          goneOn += brings(call) ? 1 : 0;
        }
      }
    }
    long all = history.calls().stream().filter(TakeUpCheck::isProper).count();
    verdict.remark(
        String.format(
            "streams taken up: %d, judged %d, gone on %d; new streams %d, begun %d",
            all, takenUp, goneOn, fresh, begun));
    if (takenUp < MIN_TAKE_UPS || fresh == 0) {
      verdict.skip();
    } else {
      verdict.judge(
          2.0 * goneOn / takenUp >= (double) begun / fresh,
          goneOn + " of " + takenUp + " went on, " + begun + " of " + fresh + " new ones began");
    }
    return verdict;
  }

  /** Returns whether a request takes up a stream and names the attempt that began it. */
  private static boolean isProper(Call call) {
    return call.takeUp()
        .filter(takeUp -> !takeUp.startsAnew() && takeUp.named() == TakeUp.Named.FIRST_EVENT)
        .isPresent();
  }

  /** Returns whether the caller left before its time was over. */
  private static boolean leftEarly(Call call) {
    return call.ending() == Call.Ending.LEFT
        && !brings(call)
        && call.endNanos() - call.sentNanos() < TimeUnit.MILLISECONDS.toNanos(call.waitMillis());
  }

  /** Returns whether an answer brought an event, or the end where nothing else was missing. */
  private static boolean brings(Call call) {
    return call.isSuccess()
        || call.status() == 200 && !StreamText.parse(call.body()).events().isEmpty();
  }

  /** What held while a request was under way. */
  private static final class Circumstances {
    private final ContactLoss contactLoss;
    private final Disturbances disturbances;
    private final VersionsInForce documents;
    private final List<History.Listed> listed;
    private final List<History.DomainChange> domainChanges;
    private final int upstreams;

    Circumstances(History history) {
      contactLoss = new ContactLoss(history);
      disturbances = new Disturbances(history);
      documents = new VersionsInForce(history);
      listed =
          history.listed().stream()
              .sorted(Comparator.comparingLong(History.Listed::atNanos))
              .toList();
      domainChanges =
          history.domainChanges().stream()
              .sorted(Comparator.comparingLong(History.DomainChange::atNanos))
              .toList();
      upstreams = 1 + listed.stream().mapToInt(History.Listed::upstream).max().orElse(-1);
    }

    /** Returns whether the router was in touch and each document in force had the customer. */
    boolean areCalm(Call call) {
      Documents.Customer customer = Documents.Customer.of(call.id());
      return !contactLoss.isPossible(call.router(), call.sentNanos(), call.endNanos())
          && !documents.anyAllowed(
              call.sentNanos(), call.endNanos(), version -> !customer.isIn(version));
    }

    /** Returns whether two upstreams of the version that began a stream served it all the while. */
    boolean versionServes(Call call, List<Call> tries) {
      Optional<StreamEvent> first =
          tries.stream()
              .filter(earlier -> earlier.status() == 200)
              .flatMap(earlier -> StreamText.parse(earlier.body()).events().stream())
              .findFirst();
      return first.isPresent()
          && !documents.anyAllowed(
              call.sentNanos(),
              call.endNanos(),
              version ->
                  !Documents.routedService(call.kind(), version).equals(first.get().service()))
          && IntStream.range(0, upstreams)
                  .filter(upstream -> serves(upstream, first.get(), call))
                  .count()
              >= MIN_UPSTREAMS;
    }

    private boolean serves(int upstream, StreamEvent event, Call call) {
      return Documents.serviceOf(upstream).equals(event.service())
          && isListed(upstream, event.version(), call.sentNanos() - FOLLOW_NANOS, call.endNanos())
          && !disturbances.affectUpstream(
              upstream, call.sentNanos() - FOLLOW_NANOS, call.endNanos())
          && !mayBeOut(Deployment.domain(upstream), call);
    }

    private boolean isListed(int upstream, String version, long fromNanos, long untilNanos) {
      boolean is = false;
      for (History.Listed change : listed) {
        if (change.upstream() != upstream || change.atNanos() - untilNanos > 0) {
          continue;
        }
        boolean becomes = change.ready() && change.version().equals(version);
        if (change.atNanos() - fromNanos > 0 && !(is && becomes)) {
          return false;
        }
        is = becomes;
      }
      return is;
    }

    private boolean mayBeOut(String domain, Call call) {
      boolean mayBeOut = false;
      for (History.DomainChange change : domainChanges) {
        if (!change.domain().equals(domain) || change.atNanos() - call.endNanos() > 0) {
          continue;
        }
        if (change.atNanos() - (call.sentNanos() - FOLLOW_NANOS) > 0) {
          return true;
        }
        mayBeOut = change.mayBeOut();
      }
      return mayBeOut;
    }
  }
}
