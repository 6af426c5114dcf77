package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.slo.BurnWindow;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.decision.slo.Tally;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.SloLine;
import io.jacinthquay.wire.gen.SloReport;
import io.jacinthquay.wire.gen.SloTimes;
import io.jacinthquay.wire.gen.StalenessReport;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** Converts service-level counts; the histograms keep every bucket. */
public final class SloMessages {
  private static final Histogram EMPTY_HISTOGRAM = new Histogram(2);
  private static final int MAX_HISTOGRAM_BYTES = 1 << 20;

  private SloMessages() {}

  /**
   * Returns the message for the counts of a router.
   *
   * @param router the name of the router
   * @param domain its failure domain
   * @param snapshot its counts
   * @param staleness the ages of the data that its decisions use
   */
  public static SloReport toMessage(
      String router, String domain, SloSnapshot snapshot, StalenessReport staleness) {
    List<SloLine> lines =
        snapshot.keys().stream().sorted().map(key -> line(snapshot, key)).toList();
    List<SloTimes> times =
        snapshot.classes().stream().sorted().map(name -> times(snapshot, name)).toList();
    return new SloReport(router, domain, lines, times, staleness);
  }

  private static SloLine line(SloSnapshot snapshot, SloKey key) {
    List<Long> attained = new ArrayList<>();
    List<Long> missed = new ArrayList<>();
    for (BurnWindow window : BurnWindow.values()) {
      Tally tally = snapshot.tally(key, window);
      attained.add(tally.attained());
      missed.add(tally.missed());
    }
    return new SloLine(key.className().value(), key.customer().value(), attained, missed);
  }

  private static SloTimes times(SloSnapshot snapshot, ClassName name) {
    return new SloTimes(
        name.value(),
        encode(snapshot.firstToken(name).orElse(EMPTY_HISTOGRAM)),
        encode(snapshot.interToken(name).orElse(EMPTY_HISTOGRAM)));
  }

  private static ByteBuffer encode(Histogram histogram) {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    histogram.encodeIntoCompressedByteBuffer(buffer);
    return buffer.flip();
  }

  /** Returns the counts that a message carries, or a failure if it is malformed. */
  public static Either<Failure, SloSnapshot> fromMessage(SloReport message) {
    SloSnapshot.Builder builder = SloSnapshot.builder();
    try {
      message.getLines().forEach(line -> add(builder, line));
      for (SloTimes times : message.getTimes()) {
        Histogram firstToken = decode(times.bufferForFirstToken());
        Histogram interToken = decode(times.bufferForInterToken());
        builder.add(new ClassName(times.getClassName()), firstToken, interToken);
      }
      return Either.right(builder.build());
    } catch (RuntimeException | DataFormatException e) {
      return Either.left(
          Failure.of(ResultCode.BAD_REQUEST, "malformed service-level counts: " + e.getMessage()));
    }
  }

  private static void add(SloSnapshot.Builder builder, SloLine line) {
    SloKey key = new SloKey(new ClassName(line.getClassName()), new CustomerId(line.getCustomer()));
    for (BurnWindow window : BurnWindow.values()) {
      int i = window.ordinal();
      builder.add(key, window, new Tally(line.getAttained().get(i), line.getMissed().get(i)));
    }
  }

  private static Histogram decode(ByteBuffer bytes) throws DataFormatException {
    if (bytes.remaining() > MAX_HISTOGRAM_BYTES) {
      throw new DataFormatException("histogram exceeds " + MAX_HISTOGRAM_BYTES + " bytes");
    }
    return Histogram.decodeFromCompressedByteBuffer(bytes, 0);
  }
}
