# gnuplot docs/capacity/plot.gnuplot, after: scale-run ... --table docs/capacity/idle.tsv
set terminal svg size 900,420 font "sans,12"
set output "docs/capacity/control.svg"
set datafile separator "\t"
set key top left
set xlabel "daemons"
set multiplot layout 1,2
set ylabel "control daemon: % of a core, without sockets"
plot "docs/capacity/idle.tsv" using 1:6 every ::1 with linespoints title "no requests"
set ylabel "control daemon: KB/s out"
plot "docs/capacity/idle.tsv" using 1:($7/1000) every ::1 with linespoints title "no requests", "docs/capacity/load-1000.tsv" using 1:($7/1000) every ::1 with linespoints title "1,000 requests/s"
unset multiplot
