package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Ways in which log records reach every entry VM: who reads the log, and who hands records on to whom. */
enum RelayTopology {
    /** Every VM reads the log. */
    DIRECT {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            return new int[vmCount(dataCentres)];
        }
    },
    /** One VM of each data centre reads the log and hands records on to the others there. */
    READER_PER_DATA_CENTRE {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            int[] parents = new int[vmCount(dataCentres)];
            for (int[] vms : dataCentres) {
                Arrays.stream(vms).skip(1).forEach(vm -> parents[vm - 1] = vms[0]);
            }
            return parents;
        }
    },
    /** One VM of each data centre reads the log; a tree hands records on inside the data centre. */
    TREE_PER_DATA_CENTRE {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            int[] parents = new int[vmCount(dataCentres)];
            dataCentres.forEach(vms -> attachAsTree(parents, vms, fanOut));
            return parents;
        }
    },
    /** One VM of all reads the log; data centres hang below each other and a tree reaches into each. */
    ONE_TREE {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            int[] parents = TREE_PER_DATA_CENTRE.parents(dataCentres, fanOut);
            int[] heads = dataCentres.stream().mapToInt(vms -> vms[0]).toArray();
            attachAsTree(parents, heads, fanOut);
            return parents;
        }
    };

    /** Number that stands for the log; VMs count from 1. */
    static final int LOG_NODE = 0;

    /**
     * Returns the parent of each VM, that of VM n at index n - 1.
     *
     * @param dataCentres numbers of the VMs of each data centre, each data centre's head first
     * @param fanOut children of a VM in a tree
     */
    abstract int[] parents(List<int[]> dataCentres, int fanOut);

    boolean isTree() {
        return this == TREE_PER_DATA_CENTRE || this == ONE_TREE;
    }

    /** Numbers the VMs of data centres of even size. */
    static List<int[]> numberVms(int vms, int dataCentres) {
        List<int[]> numbered = new ArrayList<>();
        int next = 1;
        for (int d = 0; d < dataCentres; d++) {
            int[] members = new int[vms / dataCentres + (d < vms % dataCentres ? 1 : 0)];
            for (int i = 0; i < members.length; i++) {
                members[i] = next++;
            }
            numbered.add(members);
        }
        return numbered;
    }

    private static int vmCount(List<int[]> dataCentres) {
        return dataCentres.stream().mapToInt(vms -> vms.length).sum();
    }

    /** Makes the first VM's parent stay as it is and hangs the others below it as a tree. */
    private static void attachAsTree(int[] parents, int[] vms, int fanOut) {
        for (int i = 1; i < vms.length; i++) {
            parents[vms[i] - 1] = vms[(i - 1) / fanOut];
        }
    }
}
