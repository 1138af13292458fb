package org.galenapost.standins.load;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogarithmicAxis;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots the first-token latency and longest gap per stream, and marks the planned failures. */
final class ReportPlot {

  private static final int WIDTH_PIXELS = 1_200;
  private static final int HEIGHT_PIXELS = 600;
  private static final double MIN_MS = 1;
  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  private ReportPlot() {}

  /** Writes the plot as a PNG file. */
  static void write(LoadRunner.LoadRun run, Path file) throws IOException {
    System.setProperty("java.awt.headless", "true");
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(series("first token", run.samples(), Sample::firstTokenMs));
    data.addSeries(series("longest gap", run.samples(), Sample::longestGapMs));
    JFreeChart chart = ChartFactory.createScatterPlot("Streams", "start (s)", "ms", data);
    XYPlot plot = chart.getXYPlot();
    LogarithmicAxis axis = new LogarithmicAxis("ms");
    plot.setRangeAxis(axis);
    for (PlannedFailure failure : run.failures()) {
      plot.addDomainMarker(
          new ValueMarker(failure.atMs() / MILLIS_PER_SECOND, Color.BLACK, new BasicStroke()));
    }
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
  }

  private static XYSeries series(
      String name, List<Sample> samples, ToDoubleFunction<Sample> value) {
    XYSeries series = new XYSeries(name);
    for (Sample sample : samples) {
      series.add(
          sample.startMs() / MILLIS_PER_SECOND, Math.max(MIN_MS, value.applyAsDouble(sample)));
    }
    return series;
  }
}
