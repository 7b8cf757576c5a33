package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Topologies for distributing log records to all entry VMs: which VMs read the log, and which VMs relay records. */
enum RelayTopology {
    /** Every VM reads the log. */
    DIRECT {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            return new int[vmCount(dataCentres)];
        }
    },
    /** One VM in each data centre reads the log and relays records to the other VMs there. */
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
    /** One VM in each data centre reads the log; a tree of VMs relays records inside the data centre. */
    TREE_PER_DATA_CENTRE {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            int[] parents = new int[vmCount(dataCentres)];
            dataCentres.forEach(vms -> attachAsTree(parents, vms, fanOut));
            return parents;
        }
    },
    /** A single VM reads the log; the first VMs of the data centres form a tree, with a tree of VMs below each. */
    ONE_TREE {
        @Override
        int[] parents(List<int[]> dataCentres, int fanOut) {
            int[] parents = TREE_PER_DATA_CENTRE.parents(dataCentres, fanOut);
            int[] roots = dataCentres.stream().mapToInt(vms -> vms[0]).toArray();
            attachAsTree(parents, roots, fanOut);
            return parents;
        }
    };

    /** Node number of the log; VMs are numbered from 1. */
    static final int LOG_NODE = 0;

    /**
     * Returns the parent node of each VM; the parent of VM n is at index n - 1.
     *
     * @param dataCentres VM numbers of each data centre, starting with the VM that receives records from outside
     * @param fanOut maximum number of children of a VM in each tree
     */
    abstract int[] parents(List<int[]> dataCentres, int fanOut);

    boolean isTree() {
        return this == TREE_PER_DATA_CENTRE || this == ONE_TREE;
    }

    /** Distributes VMs evenly over data centres and numbers them from 1. */
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

    /** Arranges VMs as a tree with the first VM as its root; the parent of the root stays unchanged. */
    private static void attachAsTree(int[] parents, int[] vms, int fanOut) {
        for (int i = 1; i < vms.length; i++) {
            parents[vms[i] - 1] = vms[(i - 1) / fanOut];
        }
    }
}
